/**
 * @file
 * Indirect probes, as in SWIM: before an unresponsive controller is suspected, other controllers are asked
 * to ping it. Steps: origin -> relay (request) -> target (ping) -> relay (ack) -> origin (relayed).
 */
#ifndef OW_SHARDING_INDIRECT_PROBE_H
#define OW_SHARDING_INDIRECT_PROBE_H

#include "model/peer.h"
#include "sharding/member.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The state of probing; part of the membership, which owns the members. */
struct ow_indirect_prober {
    const char *self;         /**< this controller's name; borrowed */
    const GPtrArray *members; /**< struct ow_member; borrowed */
    unsigned relays_max;      /**< how many controllers one probe asks */
    uint64_t last_number;     /**< of the last probe that this controller started; 0: none yet */
};

/** Asks up to relays_max alive controllers whether they reach the target; messages are added to `out`, which
 * owns them. Replies to earlier probes of the target are ignored from now on. */
void ow_indirect_probe_begin(struct ow_indirect_prober *prober, struct ow_member *target, double now,
                             GPtrArray *out);

/**
 * Handles a step of a probe: sends the next step, or records that a relay reaches the target.
 *
 * @return false if this controller has no part in that step: the message is to be dropped. */
bool ow_indirect_probe_receive(const struct ow_indirect_prober *prober, const struct ow_peer_probe *probe,
                               double now, GPtrArray *out);

#endif
