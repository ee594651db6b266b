/* The serving process: turns requests into events for the core, and its effects into requests. */
#ifndef OW_IO_SERVICE_H
#define OW_IO_SERVICE_H

#include "control/control_settings.h"
#include "io/loop.h"

struct ow_service;

/* NULL if an address can't be listened on; *fault then says which (g_free). */
struct ow_service *ow_service_new(struct ow_loop *loop, const struct ow_settings *settings,
                                  const struct ow_rules *rules, const struct ow_control_settings *control,
                                  char **fault);
void ow_service_free(struct ow_service *service);
/* The round of the event loop (ow_round_fn): lets the core run and carries out its effects. `owner` is the
   service. */
double ow_service_round(void *owner, double now);

#endif
