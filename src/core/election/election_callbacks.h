/** @file
 * The callbacks by which the election creates and frees the leader. The election is a lower layer than the
 * leader and does not depend on it.
 */
#ifndef OW_CORE_ELECTION_ELECTION_CALLBACKS_H
#define OW_CORE_ELECTION_ELECTION_CALLBACKS_H

#include <stdint.h>

struct ow_core;

/** Called when a term of this controller begins and ends, from within the election: after it has changed its
 * own state (begin), or before (end). */
struct ow_election_callbacks {
    /** A term has begun under this fencing token. */
    void (*start_leading)(struct ow_core *core, uint64_t fencing_token);
    /** The term has ended: nothing may be done in its name any more. */
    void (*stop_leading)(struct ow_core *core);
};

#endif
