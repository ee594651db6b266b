/* The <control> element of the operators' settings: how the fleet is divided into shards, which jobs go
 * where, and when a controller is suspected. Plain data, checked against the platform's settings. */
#ifndef OW_SHARDING_SHARDING_SETTINGS_H
#define OW_SHARDING_SHARDING_SETTINGS_H

#include "model/settings.h"

#include <glib.h>
#include <stdbool.h>

enum { OW_SHARDS_MAX = 32 };

/* A part of the fleet that one controller at a time leads. */
struct ow_shard_settings {
    char *name;
    char **zones; /* at least one */
    char **types; /* machine types in its zones; NULL: all that no other shard of the zone names */
    double share; /* of every team's guarantee and limit, where no allotment says otherwise */
    unsigned long line;
};

/* What a shard has of one team's guarantee and limit. */
struct ow_allotment {
    char *team, *shard;
    double share;
    unsigned long line;
};

/* Which shards may take a job; the first rule that matches counts, and jobs without one may go to any. */
struct ow_route {
    char *class_name, *team, *zone; /* NULL: any */
    char **shards;                  /* at least one */
    unsigned long line;
};

struct ow_sharding_settings {
    bool enabled;            /* a <control> element is there */
    unsigned long line;      /* of that element */
    double heartbeat_s;      /* from one heartbeat to the next */
    double suspicion_phi;    /* a controller with a higher phi is probed, and then suspected */
    double probe_timeout_s;  /* how long the answers to indirect probes are waited for */
    unsigned relays;         /* controllers that are asked for indirect probes */
    double candidacy_step_s; /* how long each next candidate leaves a shard without a leader to those before
                                it */
    GPtrArray *shards;       /* struct ow_shard_settings, owned */
    GPtrArray *allotments;   /* struct ow_allotment, owned */
    GPtrArray *routes;       /* struct ow_route, owned */
};

/* Switched off, with the default values; freed by ow_sharding_settings_free(). */
struct ow_sharding_settings *ow_sharding_settings_new(void);
/* NULL is allowed. */
void ow_sharding_settings_free(struct ow_sharding_settings *sharding);
/* The shard of this name, or -1. */
int ow_sharding_settings_shard(const struct ow_sharding_settings *sharding, const char *name);
/* What the shard has of the team's guarantee and limit, from 0 to 1. */
double ow_sharding_settings_share(const struct ow_sharding_settings *sharding, const char *team,
                                  const struct ow_shard_settings *shard);

#endif
