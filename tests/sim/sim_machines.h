/**
 * @file
 * The simulated machines and their workers. A worker fetches, runs and ends tasks, sends heartbeats, ends its
 * tasks when its lease expires, and rejects commands with a fencing token lower than the highest seen. Tests
 * inject failures through the fields of struct sim_machine under "Failures". The cluster owns its machines; a
 * deleted machine is freed only with the cluster.
 */
#ifndef OW_TESTS_SIM_MACHINES_H
#define OW_TESTS_SIM_MACHINES_H

#include "model/submission.h"
#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>

struct sim_cluster;

/** An attempt of a task on a machine, running or exited. */
struct sim_task {
    char job[OW_ID_MAX + 1];
    uint32_t task;
    uint64_t attempt;
    enum ow_task_phase phase;
    enum ow_exit_cause cause;
    bool saved;
    double next_phase_at; /**< the time of its next change of phase */
};

/** A machine and the state of its worker. */
struct sim_machine {
    char name[32];
    char addr[32];
    char type[16];
    char zone[16];
    bool spot;
    bool deleted; /**< no longer listed by the cloud, and without tasks */

    /* Failures, for tests to set. */
    bool partitioned;              /**< no message passes in either direction */
    bool hung;                     /**< its worker makes no progress at all */
    bool fails_tasks;              /**< every task fails on it */
    bool unresponsive;             /**< its heartbeats arrive, but no response or command reaches it */
    bool heartbeats_lost;          /**< its heartbeats reach no controller, but commands reach it */
    int only_reachable_controller; /**< partitioned from every other controller; -1: from none */
    double reclaim_notice_s; /**< the time until the cloud reclaims it, as in heartbeats; -1: no notice */

    double booted_at; /**< the end of its boot */
    uint64_t incarnation;
    uint64_t sequence; /**< the sequence number of its last heartbeat */
    uint64_t fencing_token;
    double next_heartbeat_at;
    double lease_renewed_at;
    double heartbeat_sent_at;
    bool awaits_response;     /**< no response to its last heartbeat has arrived yet */
    int controller;           /**< the controller that it sends heartbeats to */
    GArray *tasks;            /**< struct sim_task */
    unsigned launches;        /**< number of launch commands that its worker has executed */
    unsigned cleared_results; /**< number of results that its worker has cleared */
};

/** Adds a machine that has booted. The type is "big" (16 CPUs) or "gpu" (8 CPUs, 2 GPUs). */
struct sim_machine *sim_add_machine(struct sim_cluster *cluster, const char *name, const char *type,
                                    const char *zone, bool spot);
/** The machine dies with all that is on it, and its worker is back at once with its next incarnation.
 * @param fencing_token the highest that the worker has seen: what it remembers, or 0 if it forgets */
void sim_reboot_machine(struct sim_cluster *cluster, struct sim_machine *machine, uint64_t fencing_token);
/** Adds this number of machines of type "big" in one zone, named "<prefix>-0", "<prefix>-1" and so on. */
void sim_add_group(struct sim_cluster *cluster, const char *prefix, int machines, const char *zone,
                   bool spot);
/** Adds this number of on-demand machines "m-0", "m-1" and so on in the zone "east". */
void sim_add_machines(struct sim_cluster *cluster, int machines);
/** The machine of this name or address, or NULL. */
struct sim_machine *sim_machine(struct sim_cluster *cluster, const char *name);
/** The machine of this index, in the order of creation. */
struct sim_machine *sim_machine_at(const struct sim_cluster *cluster, guint index);
/** Deletes the machine with its tasks, as the cloud does. */
void sim_delete_machine(struct sim_machine *machine);
/** Restarts the worker without tasks: its incarnation and sequence numbers start again. */
void sim_restart_worker(struct sim_cluster *cluster, struct sim_machine *machine);

/** Sends a controller a heartbeat without tasks, with this sequence number and fencing token. */
void sim_send_empty_heartbeat(struct sim_cluster *cluster, int controller, const struct sim_machine *machine,
                              uint64_t sequence, uint64_t fencing_token);
/** A duplicate of the machine's last heartbeat, with its tasks as they are now. The caller owns it. */
struct ow_heartbeat *sim_copy_last_heartbeat(const struct sim_machine *machine);
/** Sends a controller the heartbeat, which it takes ownership of. */
void sim_send_heartbeat(struct sim_cluster *cluster, int controller, struct ow_heartbeat *heartbeat);

#endif
