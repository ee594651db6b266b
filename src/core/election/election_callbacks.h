/** @file
 * What the election asks of its owner: to begin and to end the leader's work. The election stands below the
 * leader and knows nothing of it.
 */
#ifndef OW_CORE_ELECTION_ELECTION_CALLBACKS_H
#define OW_CORE_ELECTION_ELECTION_CALLBACKS_H

#include <stdint.h>

struct ow_core;

/** What the election's owner does when this controller's term begins and ends. Both are called from within
 * the election, once it has changed its own state to match (begin) or before it does (end). */
struct ow_election_callbacks {
    /** A term has begun under this fencing token. */
    void (*begin_to_lead)(struct ow_core *core, uint64_t fencing_token);
    /** The term has ended: nothing may be done in its name any more. */
    void (*end_leading)(struct ow_core *core);
};

#endif
