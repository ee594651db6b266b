/* What the platform's settings and the operators say, checked. Plain data, shared by all parts. */
#ifndef OW_MODEL_SETTINGS_H
#define OW_MODEL_SETTINGS_H

#include <glib.h>

struct ow_peer_settings {
    char *node, *zone, *endpoint;
};

struct ow_team_settings {
    char *name;
    double cpus, cpus_max, gpus, gpus_max; /* 0: none */
};

enum ow_slo_kind { OW_SLO_WAIT, OW_SLO_FINISHED, OW_SLO_OTHER };

struct ow_slo {
    enum ow_slo_kind kind;
    char *class_name;
    double within_s, share;
};

struct ow_settings {
    char *controller_name, *zone, *front, *peer_listen, *cloud_endpoint, *store_endpoint;
    GArray *peers; /* struct ow_peer_settings */
    GArray *teams; /* struct ow_team_settings */
    GArray *slos;  /* struct ow_slo */
    char **zones;
    double heartbeat_interval_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
    double store_rps, store_write_rps, value_kb;
    unsigned txn_ops;
    /* What the key-value store will allow from some moment on, without notice; the same where nothing is
     * said.
     */
    double next_write_rps, next_value_kb;
    unsigned next_txn_ops;
    double cloud_rps, list_lag_s;
    double core_share, memory_mb;
    unsigned sockets;
};

/**
 * Tuning parameters: starting values of the design, which operators may change. Their file's reader
 * (config/operators_file.c) holds the ranges, ow_tuning_default() the defaults.
 */
struct ow_tuning {
    /** How long a gang collects holds at most (the deadline D_c of docs/design.md). Seconds, 0 to 5; 5. */
    double window_s;
    /** How long a hold lasts that is not renewed. Seconds, 0.5 to 600; 10. */
    double hold_life_s;
    /** A gang that is still short of machines after this time drops its holds, and keeps its place in the
     * queue. Seconds, 1 to 86400; 120. */
    double waiting_limit_s;
    /** How many candidates are held for each member of a gang at most. 1 to 100; 3. */
    unsigned candidates;
    /** The lease of the leader's key in the key-value store. Shorter finds a lost leader sooner, and deposes
     * a slow one sooner, too. Seconds, 1 to 60; 4. With shards there are further bounds
     * (sharding/sharding_settings_check.h). */
    double leader_lease_s;
};

/** The default values. */
struct ow_tuning ow_tuning_default(void);

#endif
