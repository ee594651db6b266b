/** @file
 * Decides when leadership moves before a lease has expired: from a leader that has exited, that is
 * partitioned from the store, or that runs an earlier version during a rolling upgrade. Pure decisions: no
 * state is changed.
 */
#ifndef OW_CORE_ELECTION_SUCCESSION_H
#define OW_CORE_ELECTION_SUCCESSION_H

#include <stdbool.h>

struct ow_election;

/** Whether the key may be taken because the controller of this name appears to have exited: it leads, and
 * has held the key long enough. */
bool ow_succession_may_replace_exited(const struct ow_election *election, const char *controller_name);
/** Whether this controller, the leader, has had no response from the key-value store for so long that it must
 * step down. */
bool ow_succession_is_partitioned(const struct ow_election *election);
/** Whether the leader runs an earlier version, which a rolling upgrade is about to restart. Replacing it now
 * moves leadership once; otherwise it might move at every restart of a controller of that version. Earlier
 * versions do not replace a newer leader for this reason, so leadership does not alternate. */
bool ow_succession_leader_is_outdated(const struct ow_election *election);

#endif
