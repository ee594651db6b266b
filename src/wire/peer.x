/* The messages between controllers. A lost message costs time only, but one kind is needed for more: a user hears
 * "cancelled" only after the leader has said that it has acknowledged the cancellation (core/api/cancellation_ack.c).
 *
 * Every message travels in an envelope. Kinds that are not known are skipped, and of a body whatever comes behind
 * the known fields: so later versions add kinds, and fields at the end of a body. */

const PEER_NAME_MAX = 64;
const PEER_REASON_MAX = 160;
const PEER_JOBS_MAX = 2000;
const PEER_MACHINES_MAX = 4000;
const PEER_MESSAGE_MAX = 262144;

struct peer_hello {
    string sender<PEER_NAME_MAX>;
    unsigned hyper fencing_token; /* the highest fencing token known; the sender's own if it leads */
    bool leads;
    bool store_ok;                /* the key-value store answered the sender lately */
    bool receives_heartbeats;     /* agents came to the sender lately */
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

/* "This job's record has just changed": the leader reads at once instead of at its next watch. */
struct peer_job_changed {
    unsigned hyper revision;
};

/* Where machines listen, so that the next leader reaches them before the cloud's list does. */
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

/* A list of machines that is too long for one message comes in parts, one right after the other. None is of use
 * alone: earlier versions would take it for the whole list, so it has a kind that they skip. */
const PEER_PART_MACHINES_MAX = 1000;
const PEER_PARTS_MAX = 1000;

struct peer_machines_part {
    unsigned hyper fencing_token;
    unsigned int part;        /* from 0 */
    unsigned int part_count;
    peer_machine machines<PEER_PART_MACHINES_MAX>;
};

/* "This job's cancellation is committed": whoever leads acknowledges it, and need not read it anywhere. */
struct peer_cancellation {
    string job<PEER_NAME_MAX>;
    unsigned hyper revision;      /* of the record that says so */
    unsigned hyper fencing_token; /* of the leader at the time of that record */
};

/* "The leader has acknowledged the cancellation": it has queued the stops, and nothing of the job can start. */
struct peer_cancellation_ack {
    string job<PEER_NAME_MAX>;
    unsigned hyper revision;
    unsigned hyper fencing_token; /* of the leader that says so */
};

/* Controllers that share a fleet of several shards tell each other that they are alive, and what they lead. */
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
    unsigned hyper digest;       /* of the settings by which shards are shared */
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

/* A message between the controllers of one shard. The default shard's go without, as earlier versions send them. */
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
