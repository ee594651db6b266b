/* A controller of a fleet that may be divided into shards: it takes events and gives effects as a core does,
 * and has a core for each shard. Without control settings it is a single core, and changes nothing that this
 * does. */
#ifndef OW_CONTROL_CONTROL_H
#define OW_CONTROL_CONTROL_H

#include "control/membership.h"
#include "control/shard.h"

struct ow_control;

/* `settings`, `rules` and `control` must outlive it. `nonce` is a number that no other process has. */
struct ow_control *ow_control_new(const struct ow_settings *settings, const struct ow_rules *rules,
                                  const struct ow_control_settings *control, uint64_t nonce);
void ow_control_free(struct ow_control *control);
/* Queues an event, which is taken over. */
void ow_control_push(struct ow_control *control, struct ow_event *event);
/* As ow_core_run(). */
GPtrArray *ow_control_run(struct ow_control *control, double now, double time_of_day);
/* How long until it wants to run again, if nothing comes in. */
double ow_control_idle_seconds(const struct ow_control *control);
/* Whether users should be sent here. */
bool ow_control_healthy(const struct ow_control *control);
/* The highest token under which this controller leads anything; 0: it leads nothing. */
uint64_t ow_control_token(const struct ow_control *control);
/* The process stood still for so long, up to now. True: bytes that wait to be sent must not leave any more.
 */
bool ow_control_resumed(struct ow_control *control, double paused_s, double now);

/* Whether the fleet is divided; without it, nothing below may be called. */
bool ow_control_is_enabled(const struct ow_control *control);
/* The time of the last run. */
double ow_control_now(const struct ow_control *control);
/* The other controllers: struct ow_member. */
const GPtrArray *ow_control_members(const struct ow_control *control);
/* struct ow_shard. */
const GPtrArray *ow_control_shards(const struct ow_control *control);
/* What differs from the stored shard map; NULL: nothing, as far as is known. */
const char *ow_control_difference(const struct ow_control *control);
/* Messages of other controllers that were dropped. */
unsigned ow_control_dropped(const struct ow_control *control);
/* Who would be the first to run for the shard if nobody led it. */
const char *ow_control_successor(const struct ow_control *control, const struct ow_shard *shard);

#endif
