/* Learning the machine types on a controller that does not lead: until they are known no job can be
 * accepted. */
#ifndef OW_CORE_TYPE_DISCOVERY_H
#define OW_CORE_TYPE_DISCOVERY_H

#include <stdbool.h>

struct ow_core;

struct ow_type_discovery {
    struct ow_core *core;
    bool busy;       /* a call to the cloud is under way */
    double asked_at; /* when the last one was sent */
};

/* Asks for the machine types while they are not known. The cloud may be down: a leader has recorded the types
   that it saw last in the key-value store. */
void ow_type_discovery_tick(struct ow_type_discovery *discovery);

#endif
