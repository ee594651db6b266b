/** @file
 * Messages between controllers. Plain data; src/wire/peer.x defines their encoding.
 */
#ifndef OW_MODEL_PEER_H
#define OW_MODEL_PEER_H

#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The kind of a message. The values are those of `enum peer_kind` in src/wire/peer.x and never change. */
enum ow_peer_kind {
    OW_PEER_HELLO = 1,
    OW_PEER_SUMMARY,
    OW_PEER_JOB_CHANGED,
    OW_PEER_MACHINES,
    OW_PEER_CANCELLATION,
    OW_PEER_CANCELLATION_ACK,
    OW_PEER_MACHINES_PART,
    /* 8 is PEER_SHARD_MESSAGE, which wraps the messages of a shard. */
    OW_PEER_HEARTBEAT = 9,
    OW_PEER_PROBE,
    OW_PEER_LINK_LOST = 1000, /**< never sent: created when a link is lost, because the controller's process
                                 has probably ended */
};

/** OW_PEER_HELLO: the status of the sender, sent once a second. */
struct ow_peer_hello {
    bool leads;
    bool store_ok;            /**< the key-value store answered the sender recently */
    bool receives_heartbeats; /**< the sender received heartbeats of agents recently */
};

/** The progress of a job, as counted by its leader. */
struct ow_peer_job {
    char id[OW_ID_MAX + 1];
    int done;     /**< number of tasks, or OW_TASK_COUNT_UNKNOWN */
    int running;  /**< number of tasks, or OW_TASK_COUNT_UNKNOWN */
    char *reason; /**< why it waits, owned; NULL or empty: none */
};

/** OW_PEER_SUMMARY: the progress of some jobs. A leader sends as many of them as its jobs require. */
struct ow_peer_summary {
    GArray *jobs; /**< struct ow_peer_job */
};

/** OW_PEER_JOB_CHANGED: a job's record has just changed, and the leader should read it immediately. */
struct ow_peer_job_change {
    uint64_t revision; /**< revision of the key-value store at the change */
};

/** The address of a machine. It owns its strings; none is NULL. */
struct ow_peer_machine {
    char *name;
    char *addr; /**< host:port of its agent */
    char *type;
    char *zone;
    bool spot;
};

/** OW_PEER_MACHINES: the complete list of machines. OW_PEER_MACHINES_PART: one part of it. */
struct ow_peer_machine_list {
    GArray *machines;    /**< struct ow_peer_machine */
    uint32_t part_index; /**< OW_PEER_MACHINES_PART: index of this part, from 0 */
    uint32_t part_count; /**< OW_PEER_MACHINES_PART: number of parts; 0 if the part must be ignored */
};

/** OW_PEER_CANCELLATION: a job's cancellation is committed. OW_PEER_CANCELLATION_ACK: the leader has applied
 * it, and no task of the job can start afterwards. */
struct ow_peer_cancellation {
    char job[OW_ID_MAX + 1];
    uint64_t revision; /**< of the record of the cancellation */
};

/** A shard that the sender of a heartbeat leads. */
struct ow_peer_shard {
    char *name; /**< owned by the list that contains it */
    uint64_t fencing_token;
    bool serving;      /**< it has read the records and fenced every machine that has sent it a heartbeat */
    unsigned machines; /**< number of machines that have sent heartbeats */
};

/** OW_PEER_HEARTBEAT: the sender is alive and leads these shards. */
struct ow_peer_heartbeat {
    uint64_t incarnation; /**< distinguishes the sender's process from earlier ones; never 0 */
    uint64_t sequence;    /**< sequence number within the process, from 1 */
    uint64_t digest;      /**< of the sharding settings */
    GArray *shards;       /**< struct ow_peer_shard */
};

/** The steps of an indirect probe: the origin asks a relay whether it reaches the target. */
enum ow_probe_step {
    OW_PROBE_REQUEST, /**< origin to relay */
    OW_PROBE_PING,    /**< relay to target */
    OW_PROBE_ACK,     /**< target to relay */
    OW_PROBE_RELAYED, /**< relay to origin: the target is reached */
    OW_PROBE_STEPS,   /**< a step that is unknown to this version */
};

/** OW_PEER_PROBE: one step of an indirect probe. It owns its strings, which are names of controllers; none is
 * NULL. */
struct ow_peer_probe {
    enum ow_probe_step step;
    char *origin;
    char *relay;
    char *target;
    uint64_t number; /**< assigned by the origin to identify the probe */
};

/**
 * A message between controllers. It owns its strings and lists. Besides the common fields, only the member of
 * its kind is used; the others are empty, and their lists NULL.
 */
struct ow_peer_message {
    enum ow_peer_kind kind;
    uint32_t version; /**< format version of the sender's messages and records; set on reception */
    char *shard;      /**< the shard that the message belongs to; NULL: the only one */
    char *addressee;  /**< the controller to send it to; NULL for all; not encoded */
    /** The sending controller, for hello, heartbeat, probe and link lost; NULL for other kinds. */
    char *sender;
    /** Hello: the highest known to the sender, which is its own if it leads. Summary, machines, machines part
     * and cancellation ack: the sending leader's. Cancellation: the leader's when the cancellation was
     * recorded. */
    uint64_t fencing_token;
    struct ow_peer_hello hello;
    struct ow_peer_summary summary;
    struct ow_peer_job_change job_change;
    struct ow_peer_machine_list machine_list;
    struct ow_peer_cancellation cancellation;
    struct ow_peer_heartbeat heartbeat;
    struct ow_peer_probe probe;
};

/** Creates an empty message with the lists of its kind; the caller frees it with ow_peer_message_free(). */
struct ow_peer_message *ow_peer_message_new(enum ow_peer_kind kind);

/** Frees a message and its members. @param message may be NULL */
void ow_peer_message_free(struct ow_peer_message *message);

/** Enables g_autoptr(ow_peer_message). */
typedef struct ow_peer_message ow_peer_message;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_peer_message, ow_peer_message_free)

/** Creates an empty list of struct ow_peer_machine that owns its members; freed with g_array_free(). */
GArray *ow_peer_machines_new(void);

/** Creates an empty list of struct ow_peer_shard that owns its members; freed with g_array_free(). */
GArray *ow_peer_shards_new(void);

/** Appends a copy of a shard to a list. @param shard its name is copied, too */
void ow_peer_shards_add(GArray *shards, const struct ow_peer_shard *shard);

#endif
