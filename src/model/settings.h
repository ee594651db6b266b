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

/* The operators' own: starting values of the design, and how patient the service is. */
struct ow_tuning {
    double window_s;        /* how long a gang collects holds at most (the paper's D_c) */
    double hold_life_s;     /* an unrenewed hold is dropped after it */
    double waiting_limit_s; /* a short gang's holds drop after it; its place stays */
    unsigned candidates;    /* holds collected for each member at most */
    double leader_lease_s;  /* the life of the leader's lease in the key-value store */
};

struct ow_tuning ow_tuning_default(void);

#endif
