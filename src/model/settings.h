/** @file
 * The platform's settings and the operators' tuning parameters, after validation. Plain data, shared by all
 * modules.
 *
 * src/config reads and validates them, owns their strings and lists, and never changes them afterwards; all
 * others borrow them. A controller that leads one of several shards has a copy with its share of the amounts.
 */
#ifndef OW_MODEL_SETTINGS_H
#define OW_MODEL_SETTINGS_H

#include <glib.h>

/** Another controller. */
struct ow_peer_settings {
    char *controller_name;
    char *zone;     /**< where it runs */
    char *endpoint; /**< host:port where it takes messages of controllers */
};

/** A team and its quotas; 0 means no guarantee or no limit. */
struct ow_team_settings {
    char *name;
    double cpus;     /**< guaranteed CPUs */
    double cpus_max; /**< limit of CPUs */
    double gpus;     /**< guaranteed GPUs */
    double gpus_max; /**< limit of GPUs */
};

/** What a service-level objective measures. */
enum ow_slo_kind {
    OW_SLO_WAIT,     /**< jobs start soon after their submission */
    OW_SLO_FINISHED, /**< jobs are done by their deadline */
    OW_SLO_OTHER,    /**< a kind that this version does not know */
};

/** A service-level objective. */
struct ow_slo {
    enum ow_slo_kind kind;
    char *class_name; /**< the class of jobs that it applies to; NULL: unspecified */
    double within_s;  /**< OW_SLO_WAIT: how soon they start */
    double share;     /**< of the jobs, 0 to 1 */
};

/** The settings of the platform. */
struct ow_settings {
    /* this controller */
    char *controller_name;
    char *zone;
    char *http_listen; /**< host:port where users and agents reach it */
    char *peer_listen; /**< host:port where other controllers reach it */
    /* services and peers */
    char *cloud_endpoint; /**< host:port */
    char *store_endpoint; /**< host:port of the key-value store */
    GArray *peers;        /**< struct ow_peer_settings */
    GArray *teams;        /**< struct ow_team_settings */
    GArray *slos;         /**< struct ow_slo */
    char **zones;         /**< where machines may be provisioned, ended by NULL */
    /* agents */
    double heartbeat_interval_s;
    double lease_s;     /**< of an agent: it stops its tasks this long after the last answered heartbeat */
    double gang_wait_s; /**< the longest that a gang's task waits for the others on its machine */
    double gang_peer_s; /**< the longest until a gang's tasks notice that one of them is gone */
    double cancel_s;    /**< by when after a cancellation every task of the job must be gone */
    /* bounds of the key-value store */
    double store_rps;       /**< requests a second */
    double store_write_rps; /**< mutations a second */
    double value_kb;        /**< size of a value */
    unsigned txn_ops;       /**< operations of a transaction */
    /* announced bounds, which take effect at some later time without notice; default: the same as above */
    double next_write_rps;
    double next_value_kb;
    unsigned next_txn_ops;
    /* the cloud */
    double cloud_rps;  /**< requests a second */
    double list_lag_s; /**< by how much its list of machines may lag behind */
    /* resource limits of this process */
    double core_share; /**< CPU cores */
    double memory_mb;
    unsigned sockets;
};

/**
 * Tuning parameters: starting values of the design, which operators may change. config/operators_file.c has
 * the ranges, ow_tuning_default() the defaults. */
struct ow_tuning {
    /** How long a gang collects holds at most (D_c of docs/design/paper.md). Seconds, 0 to 5; 5. */
    double window_s;
    /** How long a hold lasts that is not renewed. Seconds, 0.5 to 600; 10. */
    double hold_life_s;
    /** A gang that still lacks machines after this time drops its holds, but keeps its place in the queue.
     * Seconds, 1 to 86400; 120. */
    double waiting_limit_s;
    /** How many candidates are held for each member of a gang at most. 1 to 100; 3. */
    unsigned candidates;
    /** The lease of the leader's key in the key-value store. A shorter lease replaces a failed leader sooner,
     * but also deposes a slow one sooner. Seconds, 1 to 60; 4. With shards there are further bounds
     * (sharding/sharding_settings_check.h). */
    double leader_lease_s;
};

/** The default values. */
struct ow_tuning ow_tuning_default(void);

#endif
