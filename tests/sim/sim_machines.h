/**
 * @file
 * The simulated machines and their workers. A worker fetches, runs and ends tasks, sends heartbeats, ends its
 * tasks when its lease expires, and obeys the highest fencing token. Tests set the fields under "failures" of
 * struct sim_machine. The cluster owns its machines; none is freed before the cluster, also when deleted.
 */
#ifndef OW_TESTS_SIM_MACHINES_H
#define OW_TESTS_SIM_MACHINES_H

#include "model/submission.h"
#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>

struct sim_cluster;

/** An attempt of a task on a machine. */
struct sim_task {
    char job[OW_ID_MAX + 1];
    uint32_t task;
    uint64_t attempt;
    enum ow_task_phase phase;
    enum ow_exit_cause cause;
    bool saved;
    double next_phase_at; /**< the time of its next change of phase */
};

/** A machine and its worker. */
struct sim_machine {
    char name[32];
    char addr[32];
    char type[16];
    char zone[16];
    bool spot;
    bool deleted; /**< no longer in the cloud, and without tasks */

    /* Failures, for tests to set. */
    bool partitioned;              /**< no message passes in either direction */
    bool hung;                     /**< its worker makes no progress at all */
    bool fails_tasks;              /**< every task fails on it */
    bool unresponsive;             /**< its heartbeats arrive; responses and commands do not reach it */
    bool heartbeats_lost;          /**< its heartbeats reach no controller; commands reach it */
    int only_reachable_controller; /**< partitioned from every other controller; -1: from none */
    double reclaim_notice_s;       /**< the time until the cloud takes it back, as in heartbeats; -1: none */

    double booted_at; /**< the end of its boot */
    uint64_t incarnation;
    uint64_t sequence; /**< of its last heartbeat */
    uint64_t fencing_token;
    double next_heartbeat_at;
    double lease_renewed_at;
    double heartbeat_sent_at;
    bool awaits_response;     /**< to its last heartbeat */
    int controller;           /**< the one that its heartbeats go to */
    GArray *tasks;            /**< struct sim_task */
    unsigned launches;        /**< carried out by its worker */
    unsigned cleared_results; /**< that its worker was told to clear */
};

/** Adds a machine that has booted. The type is "big" (16 CPUs) or "gpu" (8 CPUs, 2 GPUs). */
struct sim_machine *sim_add_machine(struct sim_cluster *cluster, const char *name, const char *type,
                                    const char *zone, bool spot);
/** Adds as many large machines in one zone, named "<prefix>-0", "<prefix>-1" and so on. */
void sim_add_group(struct sim_cluster *cluster, const char *prefix, int machines, const char *zone,
                   bool spot);
/** Adds a group of the prefix "m" in the zone "east", without spot machines. */
void sim_add_machines(struct sim_cluster *cluster, int machines);
/** The machine of this name or address, or NULL. */
struct sim_machine *sim_machine(struct sim_cluster *cluster, const char *name);
/** The machine of this index, in the order of creation. */
struct sim_machine *sim_machine_at(const struct sim_cluster *cluster, guint index);
/** Deletes the machine with its tasks, as the cloud does. */
void sim_delete_machine(struct sim_machine *machine);
/** Restarts the worker without tasks: its incarnation and sequence numbers start again. */
void sim_restart_worker(struct sim_cluster *cluster, struct sim_machine *machine);

/** Sends a controller a heartbeat without tasks, of this sequence number and fencing token. */
void sim_send_empty_heartbeat(struct sim_cluster *cluster, int controller, const struct sim_machine *machine,
                              uint64_t sequence, uint64_t fencing_token);
/** A duplicate of the machine's last heartbeat, with its tasks as they are now. The caller owns it. */
struct ow_heartbeat *sim_copy_last_heartbeat(const struct sim_machine *machine);
/** Sends a controller the heartbeat, and takes ownership of it. */
void sim_send_heartbeat(struct sim_cluster *cluster, int controller, struct ow_heartbeat *heartbeat);

#endif
