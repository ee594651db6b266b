/* What the core wants done outside, and what it is told. Plain data, owned by the queue that holds it. */
#ifndef OW_CORE_EFFECTS_H
#define OW_CORE_EFFECTS_H

#include "core/store.h"
#include "core/types.h"

struct ow_cloud_request {
    enum { OW_CLOUD_TYPES, OW_CLOUD_LIST, OW_CLOUD_PROVISION, OW_CLOUD_TERMINATE } op;
    uint64_t tag;
    char *after;              /* list */
    char *name, *type, *zone; /* rent */
    bool spot;
    unsigned count;
    GPtrArray *machines; /* delete: names */
};

struct ow_cloud_reply {
    uint64_t tag;
    int status;
    GArray *types;  /* of OW_CLOUD_TYPES */
    GArray *listed; /* of OW_CLOUD_LIST */
    bool more;
    char **provisioned; /* of OW_CLOUD_PROVISION */
};

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

struct ow_team_view {
    const char *name; /* the settings' */
    struct ow_amounts running, waiting;
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

void ow_effect_free(void *item);
void ow_cloud_request_free(struct ow_cloud_request *request);
void ow_cloud_reply_clear(struct ow_cloud_reply *reply);

enum ow_event_kind {
    /* In the order in which a crowded queue is worked off: reports, decisions, submissions. */
    OW_EVENT_HEARTBEAT,
    OW_EVENT_DIRECT_REPLY,
    OW_EVENT_STORE,
    OW_EVENT_CLOUD,
    OW_EVENT_PEER,
    OW_EVENT_CANCEL,
    OW_EVENT_POLL,
    OW_EVENT_TEAMS,
    OW_EVENT_SUBMIT,
};

/* Of a direct command that was not sent at all. */
enum { OW_STATUS_UNSENT = -1 };

struct ow_event {
    enum ow_event_kind kind;
    uint64_t request; /* whom to answer, or the tag that is answered */
    int status;
    char id[OW_ID_MAX + 1];
    struct ow_heartbeat *heartbeat;
    struct ow_submission *submission; /* NULL: malformed, `id` and `fault` tell the rest */
    const char *fault;
    struct ow_store_reply store;
    struct ow_cloud_reply cloud;
    struct ow_peer_message *peer;
};

/* An event of this kind; `request` names whom to answer, or the request that is answered. */
struct ow_event *ow_event_new(enum ow_event_kind kind, uint64_t request);
void ow_event_free(void *item);

#endif
