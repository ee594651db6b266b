/** @file
 * Reads the machine types on a controller that does not lead, until they are known: without them no job can
 * be accepted. Owns only the state of its requests; the core owns the types.
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
/** Requests the machine types while they are not known: from the cloud and, in case that is down, from the
 * record of a leader in the key-value store. */
void ow_type_discovery_tick(struct ow_type_discovery *discovery);

#endif
