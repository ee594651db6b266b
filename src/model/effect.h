/** @file
 * Effects: the output of the core, as answers to requests and requests to other services. Plain data.
 *
 * An effect is owned by the array that contains it. The core only describes effects; src/io performs them.
 */
#ifndef OW_MODEL_EFFECT_H
#define OW_MODEL_EFFECT_H

#include "model/cloud.h"
#include "model/peer.h"
#include "model/store.h"
#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The resources that the jobs of a team use and wait for. */
struct ow_team_view {
    const char *name; /**< owned by the settings, which must outlive the view */
    struct ow_resources running;
    struct ow_resources waiting;
    unsigned jobs;         /**< number of jobs that have not ended */
    unsigned waiting_jobs; /**< number of these that wait for machines */
};

/** The kind of an effect. */
enum ow_effect_kind {
    OW_EFFECT_JOB,             /**< answer a user with the state of a job */
    OW_EFFECT_TEAMS,           /**< answer a user with the resources of teams */
    OW_EFFECT_REFUSE,          /**< answer a request with an error */
    OW_EFFECT_WORKER_COMMANDS, /**< answer a heartbeat with commands */
    OW_EFFECT_REDIRECT,        /**< answer a heartbeat with the name of the leader */
    OW_EFFECT_DIRECT_COMMANDS, /**< send an agent commands at its own address */
    OW_EFFECT_STORE,           /**< send a request to the key-value store */
    OW_EFFECT_CLOUD,           /**< send a request to the cloud */
    OW_EFFECT_PEER,            /**< send a message to other controllers */
};

/** An effect. It owns its strings and lists; those of other kinds are NULL. */
struct ow_effect {
    enum ow_effect_kind kind;
    uint64_t request; /**< the request to answer, or the tag of direct commands and requests; 0: none */
    int status;       /**< OW_EFFECT_JOB, TEAMS, REFUSE: the HTTP status */
    /* OW_EFFECT_JOB */
    char id[OW_ID_MAX + 1];
    enum ow_job_state state;
    int done;     /**< tasks; omitted if OW_TASK_COUNT_UNKNOWN */
    int running;  /**< tasks; omitted if OW_TASK_COUNT_UNKNOWN */
    char *reason; /**< why the job waits; NULL: none */
    /* OW_EFFECT_REFUSE */
    char *error;       /**< error message */
    int retry_after_s; /**< Retry-After header; 0: none */
    /* OW_EFFECT_TEAMS */
    GArray *teams; /**< struct ow_team_view */
    /* OW_EFFECT_REDIRECT */
    char *redirect_to; /**< name of the leader; NULL: unknown */
    /* OW_EFFECT_WORKER_COMMANDS, OW_EFFECT_DIRECT_COMMANDS */
    uint64_t fencing_token;
    GArray *commands; /**< struct ow_worker_command; NULL: none */
    /* OW_EFFECT_DIRECT_COMMANDS */
    uint64_t incarnation; /**< expected incarnation of the agent; any other one rejects the commands */
    char *addr;           /**< host:port of the agent */
    /* OW_EFFECT_STORE, OW_EFFECT_CLOUD, OW_EFFECT_PEER */
    struct ow_store_request *store;
    struct ow_cloud_request *cloud;
    struct ow_peer_message *peer;
};

/**
 * Creates an effect with unknown task counts.
 * @param request the request to answer, or the tag of the request to send; 0: none
 * @return owned by the caller
 */
struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request);

/**
 * Turns the effect into an error answer.
 * @param status HTTP status
 * @param error error message; copied
 * @param retry_after_s delay before a retry, sent as Retry-After; 0: unspecified
 */
void ow_effect_refuse(struct ow_effect *effect, int status, const char *error, int retry_after_s);

/** Turns the effect into an error answer with status 503 and a Retry-After of 1 s. @param error copied */
void ow_effect_refuse_temporarily(struct ow_effect *effect, const char *error);

/** Frees a struct ow_effect and its members. A GDestroyNotify for arrays. */
void ow_effect_free(void *effect);

#endif
