/** @file
 * The validated settings of the platform and tuning parameters of the operators. Plain data, shared by all
 * modules.
 *
 * src/config reads and validates them, owns their strings and lists, and never changes them afterwards; other
 * modules borrow them. A controller that leads one of several shards uses a copy with the shard's share of
 * the amounts.
 */
#ifndef OW_MODEL_SETTINGS_H
#define OW_MODEL_SETTINGS_H

#include <glib.h>

/** Another controller. */
struct ow_peer_settings {
    char *controller_name;
    char *zone;     /**< zone that it runs in */
    char *endpoint; /**< host:port where it receives messages of controllers */
};

/** A team and its quotas. A guarantee or limit of 0 means none. */
struct ow_team_settings {
    char *name;
    double cpus;     /**< guaranteed CPUs */
    double cpus_max; /**< limit of CPUs */
    double gpus;     /**< guaranteed GPUs */
    double gpus_max; /**< limit of GPUs */
};

/** The measure of a service-level objective. */
enum ow_slo_kind {
    OW_SLO_WAIT,     /**< jobs start soon after their submission */
    OW_SLO_FINISHED, /**< jobs are done by their deadline */
    OW_SLO_OTHER,    /**< a kind that is unknown to this version */
};

/** A service-level objective. */
struct ow_slo {
    enum ow_slo_kind kind;
    char *class_name; /**< the class of jobs that it applies to; NULL: unspecified */
    double within_s;  /**< OW_SLO_WAIT: maximum time from submission to start */
    double share;     /**< target share of the jobs, 0 to 1 */
};

/** The settings of the platform. */
struct ow_settings {
    /* this controller */
    char *controller_name;
    char *zone;
    char *http_listen; /**< host:port to listen on for users and agents */
    char *peer_listen; /**< host:port to listen on for other controllers */
    /* endpoints of other services, other controllers, teams, objectives and zones */
    char *cloud_endpoint; /**< host:port */
    char *store_endpoint; /**< host:port of the key-value store */
    GArray *peers;        /**< struct ow_peer_settings */
    GArray *teams;        /**< struct ow_team_settings */
    GArray *slos;         /**< struct ow_slo */
    char **zones;         /**< zones where machines may be provisioned, NULL-terminated */
    /* agents */
    double heartbeat_interval_s;
    double lease_s;     /**< an agent stops its tasks this long after the last answered heartbeat */
    double gang_wait_s; /**< maximum time that a gang's task waits on its machine for the others */
    double gang_peer_s; /**< maximum time until the tasks of a gang detect that one of them is gone */
    double cancel_s;    /**< maximum time from a cancellation until every task of the job has ended */
    /* limits of the key-value store */
    double store_rps;       /**< requests per second */
    double store_write_rps; /**< mutations per second */
    double value_kb;        /**< maximum size of a value */
    unsigned txn_ops;       /**< maximum number of operations in a transaction */
    /* announced future limits, which may take effect at any time; by default the same as the current ones */
    double next_write_rps;
    double next_value_kb;
    unsigned next_txn_ops;
    /* the cloud */
    double cloud_rps;  /**< requests per second */
    double list_lag_s; /**< maximum delay of its list of machines */
    /* resource limits of this process */
    double core_share; /**< CPU cores */
    double memory_mb;
    unsigned sockets;
};

/**
 * Tuning parameters, which operators may change. config/operators_file.c checks the ranges;
 * ow_tuning_default() returns the defaults. */
struct ow_tuning {
    /** Maximum time that a gang collects holds (D_c in docs/design/paper.md). Seconds, 0 to 5; default 5. */
    double window_s;
    /** Time until a hold that is not renewed expires. Seconds, 0.5 to 600; default 10. */
    double hold_life_s;
    /** A gang that still lacks machines after this time drops its holds, but keeps its place in the queue.
     * Seconds, 1 to 86400; default 120. */
    double waiting_limit_s;
    /** Maximum number of candidates held for each member of a gang. 1 to 100; default 3. */
    unsigned candidates;
    /** The lease of the leader's key in the key-value store. A shorter lease replaces a failed leader
     * sooner, but also deposes a slow one sooner. Seconds, 1 to 60; default 4. With shards, further limits
     * apply (sharding/sharding_settings_check.h). */
    double leader_lease_s;
};

/** Returns the default tuning parameters. */
struct ow_tuning ow_tuning_default(void);

#endif
