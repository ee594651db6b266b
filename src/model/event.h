/** @file
 * Events: the input of the core, as requests to answer and replies to its own requests. Plain data.
 *
 * An event is owned by the queue that contains it, and freed after the core has handled it.
 */
#ifndef OW_MODEL_EVENT_H
#define OW_MODEL_EVENT_H

#include "model/cloud.h"
#include "model/peer.h"
#include "model/store.h"
#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The kinds of events, in the order in which queued ones are handled: first those that keep running tasks
 * safe (heartbeats, replies), then requests about known jobs, then new jobs. */
enum ow_event_kind {
    OW_EVENT_HEARTBEAT,    /**< an agent's heartbeat, to be answered */
    OW_EVENT_DIRECT_REPLY, /**< an agent's reply to direct commands */
    OW_EVENT_STORE,        /**< a reply of the key-value store */
    OW_EVENT_CLOUD,        /**< a reply of the cloud */
    OW_EVENT_PEER,         /**< a message of another controller */
    OW_EVENT_CANCEL,       /**< a user cancels a job */
    OW_EVENT_POLL,         /**< a user queries the state of a job */
    OW_EVENT_TEAMS,        /**< a user queries the resource usage of teams */
    OW_EVENT_SUBMIT,       /**< a user submits a job */
};

/** The status of direct commands that were not sent. */
enum { OW_STATUS_UNSENT = -1 };

/** An event. It owns everything that it points to. Fields of other kinds are NULL or empty. */
struct ow_event {
    enum ow_event_kind kind;
    uint64_t request; /**< the request to answer, or the tag of the core's request that this is a reply to */
    /** OW_EVENT_DIRECT_REPLY: the HTTP status; 0: no response; OW_STATUS_UNSENT */
    int status;
    /** OW_EVENT_CANCEL, POLL: the job. OW_EVENT_SUBMIT: the job of a malformed submission. */
    char id[OW_ID_MAX + 1];
    struct ow_heartbeat *heartbeat;   /**< OW_EVENT_HEARTBEAT */
    struct ow_submission *submission; /**< OW_EVENT_SUBMIT; NULL: malformed */
    GError *submission_error;     /**< OW_EVENT_SUBMIT: why the submission is malformed; NULL: it is valid */
    struct ow_store_reply store;  /**< OW_EVENT_STORE */
    struct ow_cloud_reply cloud;  /**< OW_EVENT_CLOUD */
    struct ow_peer_message *peer; /**< OW_EVENT_PEER */
};

/**
 * Creates an event.
 * @param request the request to answer, or the tag of the request that is replied to; 0: none
 * @return owned by the caller
 */
struct ow_event *ow_event_new(enum ow_event_kind kind, uint64_t request);

/** Frees a struct ow_event and its members. A GDestroyNotify for queues. */
void ow_event_free(void *event);

#endif
