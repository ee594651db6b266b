/* This controller's copy of the job table, kept current from the state service. */
#ifndef OW_CORE_REPLICA_H
#define OW_CORE_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

struct ow_node;
struct ow_replica;

/* Called once the copy is at least as new as the call that asked for it, or with false if that failed. */
typedef void (*ow_fresh_fn)(struct ow_node *node, void *data, bool ok);

struct ow_replica *ow_replica_new(struct ow_node *node);
void ow_replica_free(struct ow_replica *replica);
bool ow_replica_loaded(const struct ow_replica *replica);
/* `data` is freed with g_free after the call. Waiting calls share one read. */
void ow_replica_refresh(struct ow_replica *replica, ow_fresh_fn fn, void *data);
/* Something changed elsewhere: read soon. */
void ow_replica_hint(struct ow_replica *replica, uint64_t revision);
void ow_replica_tick(struct ow_replica *replica);

#endif
