/* Messages between controllers. A lost message only costs time, with one exception: a cancellation is confirmed to the
 * user only after the leader has acknowledged it (core/api/cancellation_ack.c).
 *
 * Every message is wrapped in an envelope. Receivers skip unknown kinds, and bytes after the known fields of a body, so
 * later versions can add kinds, and fields at the end of a body. */

const PEER_NAME_MAX = 64;
const PEER_REASON_MAX = 160;
const PEER_JOBS_MAX = 2000;
const PEER_MACHINES_MAX = 4000;
const PEER_MESSAGE_MAX = 262144;

struct peer_hello {
    string sender<PEER_NAME_MAX>;
    unsigned hyper fencing_token; /* the highest fencing token known; the sender's own if it leads */
    bool leads;
    bool store_ok;                /* the key-value store answered the sender recently */
    bool receives_heartbeats;     /* the sender received heartbeats of agents recently */
};

struct peer_job {
    string id<PEER_NAME_MAX>;
    int done;
    int running;
    string reason<PEER_REASON_MAX>;
};

struct peer_summary {
    unsigned hyper fencing_token;
    peer_job jobs<PEER_JOBS_MAX>;
};

/* A job's record has just changed: the leader reads it immediately instead of waiting for its watch. */
struct peer_job_changed {
    unsigned hyper revision;
};

/* The address of a machine, by which the next leader can reach it before it has received the cloud's list. */
struct peer_machine {
    string name<PEER_NAME_MAX>;
    string addr<PEER_NAME_MAX>;
    string type<PEER_NAME_MAX>;
    string zone<PEER_NAME_MAX>;
    bool spot;
};

struct peer_machines {
    unsigned hyper fencing_token;
    peer_machine machines<PEER_MACHINES_MAX>;
};

/* One part of a list of machines that is too long for one message; the parts are sent consecutively. A single
 * part is of no use: earlier versions would take it for the complete list, so it has a kind that they skip. */
const PEER_PART_MACHINES_MAX = 1000;
const PEER_PARTS_MAX = 1000;

struct peer_machines_part {
    unsigned hyper fencing_token;
    unsigned int part;        /* from 0 */
    unsigned int part_count;
    peer_machine machines<PEER_PART_MACHINES_MAX>;
};

/* A job's cancellation is committed: the leader acknowledges it without having to read the record. */
struct peer_cancellation {
    string job<PEER_NAME_MAX>;
    unsigned hyper revision;      /* of the record of the cancellation */
    unsigned hyper fencing_token; /* of the leader when the cancellation was recorded */
};

/* The leader has acknowledged the cancellation: it has queued the stop commands, and no task of the job can start. */
struct peer_cancellation_ack {
    string job<PEER_NAME_MAX>;
    unsigned hyper revision;
    unsigned hyper fencing_token; /* of the leader that sends the message */
};

/* In a fleet of several shards, controllers announce that they are alive and which shards they lead. */
const PEER_SHARDS_MAX = 32;

struct peer_led_shard {
    string name<PEER_NAME_MAX>;
    unsigned hyper fencing_token;
    bool serving;
    unsigned int machines;
};

struct peer_heartbeat {
    string sender<PEER_NAME_MAX>;
    unsigned hyper incarnation;  /* of the sender's process */
    unsigned hyper sequence;
    unsigned hyper digest;       /* of the sharding settings */
    peer_led_shard shards<PEER_SHARDS_MAX>;
};

/* A step of an indirect probe: the origin asks the relay whether it reaches the target. */
struct peer_probe {
    string sender<PEER_NAME_MAX>;
    unsigned int step;
    string origin<PEER_NAME_MAX>;
    string relay<PEER_NAME_MAX>;
    string target<PEER_NAME_MAX>;
    unsigned hyper number;
};

/* Wraps a message between the controllers of one shard. Messages of the default shard are not wrapped, for
 * compatibility with earlier versions. */
struct peer_shard_message {
    string shard<PEER_NAME_MAX>;
    unsigned int kind;
    opaque body<PEER_MESSAGE_MAX>;
};

const PEER_VERSION = 2;

enum peer_kind {
    PEER_HELLO = 1,
    PEER_SUMMARY = 2,
    PEER_JOB_CHANGED = 3,
    PEER_MACHINES = 4,
    PEER_CANCELLATION = 5,
    PEER_CANCELLATION_ACK = 6,
    PEER_MACHINES_PART = 7,
    PEER_SHARD_MESSAGE = 8,
    PEER_HEARTBEAT = 9,
    PEER_PROBE = 10
};

struct peer_envelope {
    unsigned int format;      /* of the sender's messages and records */
    unsigned int kind;
    opaque body<PEER_MESSAGE_MAX>;
};
