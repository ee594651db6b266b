/* What the core wants done outside: answers, and requests to other services. An effect is owned by the array
 * that holds it. */
#ifndef OW_MODEL_EFFECT_H
#define OW_MODEL_EFFECT_H

#include "model/cloud.h"
#include "model/peer.h"
#include "model/store.h"
#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_team_view {
    const char *name; /* the settings' */
    struct ow_resources running, waiting;
    unsigned jobs, waiting_jobs;
};

enum ow_effect_kind {
    OW_EFFECT_JOB,             /* answer a user with the state of a job */
    OW_EFFECT_TEAMS,           /* answer a user with what teams use and wait for */
    OW_EFFECT_REFUSE,          /* answer a user with an error */
    OW_EFFECT_WORKER_COMMANDS, /* answer a heartbeat with commands */
    OW_EFFECT_MISDIRECT,       /* tell a worker where to report */
    OW_EFFECT_DIRECT,          /* give a worker commands at its own address */
    OW_EFFECT_STORE,
    OW_EFFECT_CLOUD,
    OW_EFFECT_PEER,
};

struct ow_effect {
    enum ow_effect_kind kind;
    uint64_t request; /* whom to answer, or the tag of a direct command */
    int status;
    /* job */
    char id[OW_ID_MAX + 1];
    enum ow_job_state state;
    int done, running;
    char *text; /* the reason a job waits; an error; a controller; an address */
    int retry_after_s;
    /* commands */
    uint64_t fencing_token, incarnation;
    GArray *commands; /* struct ow_worker_command */
    GArray *teams;    /* struct ow_team_view */
    struct ow_store_request *store;
    struct ow_cloud_request *cloud;
    struct ow_peer_message *peer;
};

/* A new effect that answers or carries `request` (0: none), without counts of tasks; owned by the caller. */
struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request);
/**
 * Makes the effect an answer of HTTP status `status` with an error text, which is copied.
 *
 * @param retry_after_s after how many seconds the caller may try again; 0: it isn't told.
 */
void ow_effect_refuse(struct ow_effect *effect, int status, const char *text, int retry_after_s);
/** Makes the effect a refusal by 503, to be tried again after a second. The text is copied. */
void ow_effect_refuse_temporarily(struct ow_effect *effect, const char *text);
/* Frees an effect with all that it holds; the free function of arrays of effects. */
void ow_effect_free(void *item);

#endif
