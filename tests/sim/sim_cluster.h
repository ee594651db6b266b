/**
 * @file
 * A simulated cluster for tests of the core: a clock, a key-value store, a cloud, users and workers around
 * real controllers, sharded or not. Time advances only in sim_run(), and nothing outside the process is used,
 * so that every run of a test is deterministic.
 *
 * The workers and users check the safety rules of docs/design/safety.md independently of the controllers
 * (sim_checks.c); a breach is recorded as a violation, which sim_check_safety() turns into a failure of the
 * test.
 *
 * Tests include only this header. They inject failures through the fields of struct sim_cluster and struct
 * sim_machine, or through the functions of sim_controllers.h and sim_machines.h.
 */
#ifndef OW_TESTS_SIM_CLUSTER_H
#define OW_TESTS_SIM_CLUSTER_H

#include "sim_controllers.h"
#include "sim_machines.h"
#include "sim_queries.h"
#include "sim_setup.h"
#include "sim_submissions.h"
#include "sim_users.h"

#include "model/effect.h"
#include "sharding/shard_manager.h"

#include <stdbool.h>

/** The number of controllers, named node-0, node-1 and so on. */
enum { SIM_CONTROLLERS = 3 };

/** A callback that gets every effect of a controller before it is carried out. */
struct sim_observer {
    void (*on_effect)(void *data, const struct sim_cluster *cluster, int controller,
                      const struct ow_effect *effect);
    void *data;
};

/** The cluster. A controller number of -1 means none. Tests may set every field marked as a failure or a
 * limit, the settings of controllers that are down, and `run_time_s`. */
struct sim_cluster {
    double now;
    struct sim_observer observer; /**< no observer if `on_effect` is NULL */
    GString *violations;          /**< descriptions of all violations of safety rules; empty: none */

    /* Controllers, and the messages between them and to them. */
    struct ow_settings settings[SIM_CONTROLLERS];
    struct ow_tuning tuning;
    struct ow_sharding_settings *sharding;                 /**< NULL: the fleet is not sharded */
    struct ow_shard_manager *controllers[SIM_CONTROLLERS]; /**< NULL: down */
    uint64_t process_nonce[SIM_CONTROLLERS];               /**< identifies each controller's process */
    uint64_t nonce;                                        /**< the last nonce assigned to a process */
    bool frozen[SIM_CONTROLLERS]; /**< the process is paused; events for it stay queued */
    double frozen_at[SIM_CONTROLLERS];
    bool runs_old_version[SIM_CONTROLLERS]; /**< failure: sends the first format, and does not
                                             * recognize newer ones */
    bool peers_partitioned;                 /**< failure: no message passes between controllers */
    int isolated_controller;                /**< failure: reaches neither the store nor other controllers */
    int controller_without_workers;         /**< failure: no message passes between it and the workers */
    GPtrArray *deliveries;                  /**< struct delivery: events in flight to controllers */

    /* The key-value store: its contents. */
    GHashTable *keys;    /**< key -> struct sim_value */
    GArray *changes;     /**< struct sim_change: every change since the start */
    GHashTable *leases;  /**< id -> double *: expires at */
    GPtrArray *watches;  /**< open watches */
    uint64_t revision;   /**< the revision of the last change */
    uint64_t last_lease; /**< the id granted last */

    /* The key-value store: its failures and limits, and the load on it. */
    bool store_down;              /**< failure: answers every request 503; leases do not expire */
    int controller_without_store; /**< failure: the store answers this controller 503 */
    double store_latency_s;       /**< failure: additional latency of each response */
    int store_latency_controller; /**< the only controller with that latency; -1: all */
    bool silent_watches;          /**< failure: open watches get no response before they time out */
    guint watch_changes_max;      /**< limit: a watch with more changes is answered 413; 0: no limit */
    bool delay_txns;              /**< failure: transactions are delayed while it is set */
    bool keep_txns_delayed;       /**< failure: transactions that are already delayed stay so */
    unsigned delay_next_txns;     /**< failure: the number of next transactions of
                                   * `delay_next_controller` that are delayed */
    int delay_next_controller;    /**< the controller that `delay_next_txns` applies to */
    bool lose_txn_responses;      /**< failure: transactions are applied, and their responses are lost */
    GPtrArray *delayed_txns;      /**< struct delayed_txn: in flight to the store */
    double value_kb;              /**< limit: the size of a value, in KiB */
    unsigned txn_ops;             /**< limit: the number of mutations of a transaction */
    unsigned oversized_txns;      /**< transactions refused for exceeding the limits */
    unsigned txn_count;           /**< transactions applied or refused */
    unsigned store_requests;      /**< requests of all kinds */
    unsigned store_mutations;     /**< mutations in all transactions */

    /* The cloud. */
    bool cloud_down;                   /**< failure: answers every request 503 */
    bool delay_provisions;             /**< failure: requests to provision get no answer, and are carried out
                                        * only once it is no longer set */
    bool delay_terminations;           /**< failure: the same for terminations */
    GPtrArray *delayed_cloud_requests; /**< struct ow_cloud_request, owned: in flight to the cloud */
    unsigned
        listed_machines_max; /**< failure: the list lags, and lacks all machines after so many; 0: none */
    unsigned other_types;    /**< types that it lists before "big" and "gpu" */
    bool gpu_not_offered;    /**< it does not list the type "gpu" */
    unsigned provisionable_machines; /**< limit: the number of machines that can still be provisioned */
    unsigned provisioned_machines;   /**< number of machines provisioned so far */
    unsigned cloud_requests;         /**< requests of all kinds */

    /* Machines and their workers. */
    GPtrArray *machines;              /**< struct sim_machine, in the order of creation */
    GHashTable *machines_by_name;     /**< struct sim_machine by name and by address */
    GHashTable *last_machine_of_task; /**< "<job>/<task>" -> struct sim_machine of its last launch */
    double run_time_s;                /**< the run time of tasks of arrays and gangs */
    bool delay_direct_commands;       /**< failure: direct commands are delayed while it is set */
    bool keep_commands_delayed;       /**< failure: commands that are already delayed stay so */
    bool no_sockets;                  /**< failure: controllers have no free sockets for direct commands */
    GArray *delayed_commands;         /**< struct delayed_command: in flight to workers */
    unsigned direct_commands_sent;    /**< number of requests with direct commands */

    /* Users. */
    GHashTable *responses;    /**< request -> struct sim_response */
    GHashTable *requirements; /**< job -> struct sim_requirements */
    GHashTable *final_states; /**< job -> struct sim_final_state */
    uint64_t last_request;
};

/** A cluster without machines; no controller runs. The caller ends it with sim_finish() or sim_free(). */
struct sim_cluster *sim_new(void);
/** Frees the cluster with all its machines and controllers. */
void sim_free(struct sim_cluster *cluster);
/** Fails the test if a safety rule was violated or a transaction was too large. */
void sim_check_safety(const struct sim_cluster *cluster);
/** Calls sim_check_safety() and frees the cluster; for tests that create several clusters. */
void sim_finish(struct sim_cluster *cluster);
/** A cmocka teardown function for tests whose setup creates one cluster: frees it, also after a failed test.
 */
int sim_teardown(void **state);
/** Advances the simulation by this time. */
void sim_run(struct sim_cluster *cluster, double seconds);
/** Runs until the predicate holds for `what`; returns false if it does not hold within this time. */
bool sim_run_until(struct sim_cluster *cluster, double seconds,
                   bool (*holds)(struct sim_cluster *cluster, const void *what), const void *what);

#endif
