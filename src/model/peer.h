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
    /* 8 is the kind of the envelope around a shard's messages. */
    OW_PEER_HEARTBEAT = 9,
    OW_PEER_PROBE,
    OW_PEER_LINK_LOST = 1000, /**< never sent: created by a link that is lost, as a hint that the controller's
                                 process has ended */
};

/** OW_PEER_HELLO: the status of the sender, sent every second. */
struct ow_peer_hello {
    bool leads;
    bool store_ok;            /**< the key-value store answered the sender recently */
    bool receives_heartbeats; /**< the sender received heartbeats of agents recently */
};

/** The progress of a job, as counted by its leader. */
struct ow_peer_job {
    char id[OW_ID_MAX + 1];
    int done;     /**< tasks; OW_TASK_COUNT_UNKNOWN: not counted */
    int running;  /**< tasks; OW_TASK_COUNT_UNKNOWN: not counted */
    char *reason; /**< why it waits, owned; NULL or empty: none */
};

/** OW_PEER_SUMMARY: the progress of some jobs; a leader sends as many messages as all of its jobs need. */
struct ow_peer_summary {
    GArray *jobs; /**< struct ow_peer_job */
};

/** OW_PEER_JOB_CHANGED: a record of a job has just changed, so that the leader reads it at once. */
struct ow_peer_job_change {
    uint64_t revision; /**< of the key-value store at the change */
};

/** Where a machine listens. It owns its texts; none is NULL. */
struct ow_peer_machine {
    char *name;
    char *addr; /**< host:port of its agent */
    char *type;
    char *zone;
    bool spot;
};

/** OW_PEER_MACHINES: the whole list of machines. OW_PEER_MACHINES_PART: one part of it. */
struct ow_peer_machine_list {
    GArray *machines;    /**< struct ow_peer_machine */
    uint32_t part_index; /**< of a list in parts: index of this part, from 0 */
    uint32_t part_count; /**< of a list in parts: number of parts; 0: the part must not be used */
};

/** OW_PEER_CANCELLATION: a job's cancellation is committed. OW_PEER_CANCELLATION_ACK: the leader has applied
 * it, and no task of the job can start any more. */
struct ow_peer_cancellation {
    char job[OW_ID_MAX + 1];
    uint64_t revision; /**< of the record of the cancellation */
};

/** A shard that the sender of a heartbeat leads. */
struct ow_peer_shard {
    char *name; /**< owned by the list that it is in */
    uint64_t fencing_token;
    bool serving;      /**< it has read the records and fenced every machine that has sent it a heartbeat */
    unsigned machines; /**< that have sent heartbeats */
};

/** OW_PEER_HEARTBEAT: the sender is alive, and leads these shards. */
struct ow_peer_heartbeat {
    uint64_t incarnation; /**< distinguishes the sender's process from earlier ones; never 0 */
    uint64_t sequence;    /**< counts the heartbeats of the process, from 1 */
    uint64_t digest;      /**< of the sharding settings */
    GArray *shards;       /**< struct ow_peer_shard */
};

/** The steps of an indirect probe: the origin asks a relay whether it reaches the target. */
enum ow_probe_step {
    OW_PROBE_REQUEST, /**< origin to relay */
    OW_PROBE_PING,    /**< relay to target */
    OW_PROBE_ACK,     /**< target to relay */
    OW_PROBE_RELAYED, /**< relay to origin: the target is reached */
    OW_PROBE_STEPS,   /**< a step that this version does not know */
};

/** OW_PEER_PROBE: one step of an indirect probe. It owns its texts, names of controllers; none is NULL. */
struct ow_peer_probe {
    enum ow_probe_step step;
    char *origin;
    char *relay;
    char *target;
    uint64_t number; /**< chosen by the origin, to tell its probes apart */
};

/**
 * A message between controllers. It owns its texts and lists. Beside the common fields only the group of its
 * kind counts; the others are empty, their lists NULL.
 */
struct ow_peer_message {
    enum ow_peer_kind kind;
    uint32_t version; /**< of the sender's messages and records; set where a message is received */
    char *shard;      /**< the shard that the message is for; NULL: the only one */
    char *addressee;  /**< the controller that it is sent to; not part of the encoded message; NULL: all */
    /** The controller that sent it, for hello, heartbeat, probe and link lost; NULL for other kinds. */
    char *sender;
    /** Hello: the highest that the sender knows; its own if it leads. Summary, machines, machines part and
     * cancellation ack: that of the sending leader. Cancellation: that of the leader when the cancellation
     * was recorded. */
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

/** Frees a message with all that it holds. @param message may be NULL */
void ow_peer_message_free(struct ow_peer_message *message);

/** Lets GLib free it: g_autoptr(ow_peer_message), or g_auto(ow_peer_message). */
typedef struct ow_peer_message ow_peer_message;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_peer_message, ow_peer_message_free)

/** Creates an empty list of struct ow_peer_machine that owns its members; freed with g_array_free(). */
GArray *ow_peer_machines_new(void);

/** Creates an empty list of struct ow_peer_shard that owns its members; freed with g_array_free(). */
GArray *ow_peer_shards_new(void);

/** Appends a copy. @param shard its name is copied */
void ow_peer_shards_add(GArray *shards, const struct ow_peer_shard *shard);

#endif
