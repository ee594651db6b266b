/* Messages between controllers. */
#ifndef OW_MODEL_PEER_H
#define OW_MODEL_PEER_H

#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_peer_job {
    char id[OW_ID_MAX + 1];
    int done, running;
    char *reason;
};

struct ow_peer_machine {
    char *name, *addr, *type, *zone;
    bool spot;
};

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
    OW_PEER_LINK_LOST = 1000, /* never sent: the link itself says that a controller seems to have ended */
};

/* A shard that the sender of a heartbeat leads. */
struct ow_peer_shard {
    char *name;
    uint64_t fencing_token;
    bool serving;      /* it has read the records and fenced every machine it has heard */
    unsigned machines; /* that have reported */
};

/* The steps of an indirect probe: the origin asks a relay whether it reaches the target. */
enum ow_probe_step { OW_PROBE_REQUEST, OW_PROBE_PING, OW_PROBE_ACK, OW_PROBE_RELAYED, OW_PROBE_STEPS };

struct ow_peer_message {
    enum ow_peer_kind kind;
    uint32_t version; /* of the sender's messages and records */
    char *sender;
    uint64_t number;         /* fencing token, or revision of a changed job */
    char job[OW_ID_MAX + 1]; /* of a cancellation, committed or acknowledged */
    uint64_t revision;       /* of its record */
    bool leads, store_ok, receives_heartbeats;
    GArray *jobs;        /* struct ow_peer_job */
    GArray *machines;    /* struct ow_peer_machine */
    uint32_t part;       /* of a list in parts: which this is, from 0 */
    uint32_t part_count; /* and how many there are */
    char *shard;         /* whose controllers are meant; NULL: the only one */
    char *addressee;     /* the controller that it goes to, never sent; NULL: all */
    /* Of a heartbeat. */
    uint64_t incarnation; /* tells the sender's process from earlier ones */
    uint64_t sequence;    /* counts the heartbeats of the process */
    uint64_t digest;      /* of the settings by which shards are shared */
    GArray *shards;       /* struct ow_peer_shard */
    /* Of a probe, whose `number` is its origin's. */
    enum ow_probe_step step;
    char *origin, *relay, *target;
};

/* An empty list of struct ow_peer_machine that owns its members. */
GArray *ow_peer_machines_new(void);
/* An empty list of struct ow_peer_shard that owns its members. */
GArray *ow_peer_shards_new(void);
/* Appends a copy. */
void ow_peer_shards_add(GArray *shards, const struct ow_peer_shard *shard);
struct ow_peer_message *ow_peer_message_new(enum ow_peer_kind kind);
void ow_peer_message_free(struct ow_peer_message *message);

#endif
