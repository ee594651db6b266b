/** @file
 * When leadership moves before a lease has expired: from a leader that has ended, that is cut off, or that is
 * about to be replaced by a newer version. The module decides only; it changes nothing.
 */
#ifndef OW_CORE_ELECTION_SUCCESSION_H
#define OW_CORE_ELECTION_SUCCESSION_H

#include <stdbool.h>

struct ow_election;

/** Whether the key may be taken because the controller of this name has ended. */
bool ow_succession_may_replace_ended(const struct ow_election *election, const char *controller_name);
/** Whether we, the leader, are cut off from the key-value store for so long that we must stop leading. */
bool ow_succession_is_cut_off(const struct ow_election *election);
/** Whether the leader's process is of an earlier version, which an upgrade is about to replace. Leadership
 * then moves once, now, instead of with every process of that version that happens to hold it as its turn
 * comes. An earlier version never takes it back for this reason, so the two do not alternate. */
bool ow_succession_leader_is_outdated(const struct ow_election *election);

#endif
