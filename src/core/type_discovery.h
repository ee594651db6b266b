/** @file
 * Keeps the machine types known. Until they are, on every controller, also from the record of an earlier
 * leader: without them no job can be accepted and no task placed. Afterwards a controller that does not lead
 * goes on asking the cloud, so that it accepts jobs for types that are offered later. Owns only the state of
 * its requests; the core owns the types.
 */
#ifndef OW_CORE_TYPE_DISCOVERY_H
#define OW_CORE_TYPE_DISCOVERY_H

struct ow_core;
struct ow_type_discovery;

/** Creates the state of a discovery that has sent no request yet; freed by ow_type_discovery_free(). `core`
 * must outlive it. */
struct ow_type_discovery *ow_type_discovery_new(struct ow_core *core);
/** Frees the state; no answer to a request of it may arrive afterwards. */
void ow_type_discovery_free(struct ow_type_discovery *discovery);
/** Requests the machine types when that is due: from the cloud and, while none are known, from the record in
 * the key-value store, in case the cloud is down. */
void ow_type_discovery_tick(struct ow_type_discovery *discovery);

#endif
