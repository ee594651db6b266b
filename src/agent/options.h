/* The agent's command line. */
#ifndef OW_AGENT_OPTIONS_H
#define OW_AGENT_OPTIONS_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>

struct agent_controller {
    char *name, *endpoint;
};

struct agent_options {
    char *machine, *type, *zone;
    char *listen;    /* ADDRESS:PORT that direct commands come to */
    char *advertise; /* how controllers reach that; the same unless there is something in between */
    bool spot;
    struct ow_resources size;
    double heartbeat_interval_s, lease_s;
    GArray *controllers; /* struct agent_controller */
    char *state_dir;     /* the agent's own: incarnation, lock */
    char *jobs_dir;      /* job descriptions, <id>.json */
    char *history;       /* file that events are appended to, or NULL */
};

/* Reads the arguments: true; or false after a message on standard error. Either way the result is to be
 * cleared. */
bool agent_options_parse(int argc, char **argv, struct agent_options *options);
void agent_options_clear(struct agent_options *options);

#endif
