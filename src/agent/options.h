/**
 * @file
 * Command line options of the agent: the machine that it runs on, and its controllers.
 */
#ifndef OW_AGENT_OPTIONS_H
#define OW_AGENT_OPTIONS_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>

/** A controller that may receive heartbeats. Strings are owned. */
struct agent_controller {
    char *name;
    char *endpoint; /**< ADDRESS:PORT */
};

/** The parsed options of the agent. Strings are owned, and not NULL unless noted. */
struct agent_options {
    char *machine;
    char *type;
    char *zone;
    char *listen;                /**< ADDRESS:PORT on which direct commands are accepted */
    char *advertise;             /**< ADDRESS:PORT that controllers use; differs from `listen` behind NAT */
    bool is_spot;                /**< the cloud may reclaim the machine */
    struct ow_resources size;    /**< resources of the machine */
    double heartbeat_interval_s; /**< above 0; default 3 */
    double lease_s;              /**< above heartbeat_interval_s; default 20 */
    GArray *controllers;         /**< struct agent_controller, at least one */
    char *state_dir;             /**< holds the incarnation and its lock; not shared with other agents */
    char *jobs_dir;              /**< directory of job descriptions, `<id>.json` */
    char *history;               /**< file to which events are appended; NULL: none */
};

/**
 * Parses the command line.
 *
 * @param error  G_OPTION_ERROR, or OW_CONFIG_ERROR for options that are missing or invalid
 * @return false on an error; the caller must clear `options` in either case
 */
bool agent_options_parse(int argc, char **argv, struct agent_options *options, GError **error);
/** Frees the members of the options, but not the struct itself. */
void agent_options_clear(struct agent_options *options);

#endif
