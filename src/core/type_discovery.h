/** @file
 * Learning the machine types on a controller that does not lead: until they are known no job can be
 * accepted. Owns the state of its calls alone; the types themselves are the core's.
 */
#ifndef OW_CORE_TYPE_DISCOVERY_H
#define OW_CORE_TYPE_DISCOVERY_H

struct ow_core;
struct ow_type_discovery;

/** Nothing has been asked yet; freed by ow_type_discovery_free(). `core` must outlive it. */
struct ow_type_discovery *ow_type_discovery_new(struct ow_core *core);
/** Frees it. No answer to a call of its may come after that. */
void ow_type_discovery_free(struct ow_type_discovery *discovery);
/** Asks for the machine types while they are not known. The cloud may be down: a leader has recorded the
 * types that it saw last in the key-value store. */
void ow_type_discovery_tick(struct ow_type_discovery *discovery);

#endif
