/** @file
 * Takes the leader key with a lease attached to it, and renews that lease.
 */
#ifndef OW_CORE_ELECTION_LEADER_LEASE_H
#define OW_CORE_ELECTION_LEADER_LEASE_H

struct ow_election;

/** Obtains a new lease: stage OW_ELECTION_OBTAINING_LEASE. */
void ow_leader_lease_obtain(struct ow_election *election);
/** Writes the key, unless it has changed since it was read: stage OW_ELECTION_TAKING_KEY. */
void ow_leader_lease_take_key(struct ow_election *election);
/** Renews the lease: stage OW_ELECTION_LEADING. No renewal may be in flight. */
void ow_leader_lease_renew(struct ow_election *election);
/** Deletes the key that this controller holds, so that another one can take it without waiting for the lease
 * to expire. The reply is ignored. */
void ow_leader_lease_release_key(struct ow_election *election);

#endif
