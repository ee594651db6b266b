/** @file
 * The callbacks by which the election creates and frees the leader. The election is a lower layer than the
 * leader and does not depend on it.
 */
#ifndef OW_CORE_ELECTION_ELECTION_CALLBACKS_H
#define OW_CORE_ELECTION_ELECTION_CALLBACKS_H

#include <stdint.h>

struct ow_core;

/** Called when a term of this controller starts and ends: at the start after the election has changed its own
 * state, at the end before it does. */
struct ow_election_callbacks {
    /** A term has started under this fencing token. */
    void (*start_leading)(struct ow_core *core, uint64_t fencing_token);
    /** The term has ended: no further requests may be sent with its fencing token. */
    void (*stop_leading)(struct ow_core *core);
};

#endif
