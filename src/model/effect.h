/** @file
 * Effects: what the core wants to be done outside, as answers to requests and requests to other services.
 * Plain data.
 *
 * An effect is owned by the array that holds it. The core only describes effects; src/io carries them out.
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

/** What the jobs of a team use and wait for. */
struct ow_team_view {
    const char *name; /**< the settings', which must outlive the view */
    struct ow_resources running;
    struct ow_resources waiting;
    unsigned jobs;         /**< that are not over */
    unsigned waiting_jobs; /**< of these, those that wait for machines */
};

/** What is to be done. */
enum ow_effect_kind {
    OW_EFFECT_JOB,             /**< answer a user with the state of a job */
    OW_EFFECT_TEAMS,           /**< answer a user with what teams use and wait for */
    OW_EFFECT_REFUSE,          /**< answer a request with an error */
    OW_EFFECT_WORKER_COMMANDS, /**< answer a heartbeat with commands */
    OW_EFFECT_REDIRECT,        /**< answer a heartbeat with the controller that leads */
    OW_EFFECT_DIRECT_COMMANDS, /**< send an agent commands at its own address */
    OW_EFFECT_STORE,           /**< send a request to the key-value store */
    OW_EFFECT_CLOUD,           /**< send a request to the cloud */
    OW_EFFECT_PEER,            /**< send a message to other controllers */
};

/** An effect. It owns its texts and lists; those of other kinds are NULL. */
struct ow_effect {
    enum ow_effect_kind kind;
    uint64_t request; /**< the request to answer, or the tag of direct commands and requests; 0: none */
    int status;       /**< OW_EFFECT_JOB, TEAMS, REFUSE: the HTTP status */
    /* OW_EFFECT_JOB */
    char id[OW_ID_MAX + 1];
    enum ow_job_state state;
    int done;     /**< tasks; OW_TASK_COUNT_UNKNOWN: left out */
    int running;  /**< tasks; OW_TASK_COUNT_UNKNOWN: left out */
    char *reason; /**< why the job waits; NULL: none */
    /* OW_EFFECT_REFUSE */
    char *error;       /**< text of the error */
    int retry_after_s; /**< Retry-After in seconds; 0: none */
    /* OW_EFFECT_TEAMS */
    GArray *teams; /**< struct ow_team_view */
    /* OW_EFFECT_REDIRECT */
    char *redirect_to; /**< name of a controller; NULL: unknown */
    /* OW_EFFECT_WORKER_COMMANDS, OW_EFFECT_DIRECT_COMMANDS */
    uint64_t fencing_token;
    GArray *commands; /**< struct ow_worker_command; NULL: none */
    /* OW_EFFECT_DIRECT_COMMANDS */
    uint64_t incarnation; /**< the agent's expected incarnation: any other refuses the commands */
    char *addr;           /**< host:port of the agent */
    /* OW_EFFECT_STORE, OW_EFFECT_CLOUD, OW_EFFECT_PEER */
    struct ow_store_request *store;
    struct ow_cloud_request *cloud;
    struct ow_peer_message *peer;
};

/**
 * Creates an effect without counts of tasks.
 * @param request what it answers or carries; 0: none
 * @return owned by the caller
 */
struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request);

/**
 * Makes the effect an answer with an error.
 * @param status HTTP status
 * @param error text of the error; copied
 * @param retry_after_s after how many seconds the caller may try again; 0: unspecified */
void ow_effect_refuse(struct ow_effect *effect, int status, const char *error, int retry_after_s);

/** Makes the effect a refusal with status 503, to be tried again after a second. @param error copied */
void ow_effect_refuse_temporarily(struct ow_effect *effect, const char *error);

/** Frees a struct ow_effect with all that it holds: the free function of arrays of effects. */
void ow_effect_free(void *effect);

#endif
