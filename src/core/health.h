/* Whether this controller is in a state to serve users: whether the key-value store answers it, and whether
 * other controllers are better off. */
#ifndef OW_CORE_HEALTH_H
#define OW_CORE_HEALTH_H

#include <stdbool.h>

struct ow_core;

/* Reads of the key-value store that only show whether it answers. */
struct ow_health_probe {
    bool busy; /* one is under way */
    double at; /* when the last one was sent */
};

/* Notes the status of an answer from the key-value store; 0 is that there was none. */
void ow_health_note_store_reply(struct ow_core *core, int status);
/* Probes the key-value store if it has not been heard of for some time. A controller without requests of its
   own has open watches alone, and those give no answer when it is cut off. */
void ow_health_probe_store(struct ow_core *core, struct ow_health_probe *probe);
/* Whether the key-value store has answered recently. */
bool ow_health_store_is_ok(const struct ow_core *core);
/* Whether users should be sent here. */
bool ow_health_is_ready(const struct ow_core *core);

#endif
