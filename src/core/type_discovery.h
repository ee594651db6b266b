/** @file
 * Reads the machine types until they are known, also from the record of an earlier leader: without them no
 * job can be accepted and no task placed. Owns only the state of its requests; the core owns the types.
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
/** Requests the machine types while they are not known: from the record in the key-value store and, unless
 * this controller leads and so polls the cloud itself, from the cloud. */
void ow_type_discovery_tick(struct ow_type_discovery *discovery);

#endif
