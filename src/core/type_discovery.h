/** @file
 * Reads the machine types on a controller that does not lead, until they are known: without them no job can
 * be accepted. Owns only the state of its requests; the core owns the types.
 */
#ifndef OW_CORE_TYPE_DISCOVERY_H
#define OW_CORE_TYPE_DISCOVERY_H

struct ow_core;
struct ow_type_discovery;

/** Nothing has been asked yet; freed by ow_type_discovery_free(). `core` must outlive it. */
struct ow_type_discovery *ow_type_discovery_new(struct ow_core *core);
/** Frees it. No answer to a call of its may come after that. */
void ow_type_discovery_free(struct ow_type_discovery *discovery);
/** Requests the machine types while they are not known: from the cloud and, in case that is down, from the
 * record of a leader in the key-value store. */
void ow_type_discovery_tick(struct ow_type_discovery *discovery);

#endif
