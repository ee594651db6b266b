/* What controllers tell each other. A lost message costs time only, but one kind is needed for more: a user hears
 * "cancelled" only after the coordinator has said that it has taken the cancellation in (core/confirm.c).
 *
 * Every message travels in an envelope. Kinds that are not known are skipped, and of a body whatever comes behind
 * the known fields: so later versions add kinds, and fields at the end of a body. */

const PEER_NAME_MAX = 64;
const PEER_REASON_MAX = 160;
const PEER_JOBS_MAX = 2000;
const PEER_MACHINES_MAX = 4000;
const PEER_MESSAGE_MAX = 262144;

struct peer_hello {
    string node<PEER_NAME_MAX>;
    unsigned hyper token;     /* the highest token known; the sender's own if it leads */
    bool leads;
    bool state_ok;            /* the state service answered the sender lately */
    bool hears_workers;       /* workers came to the sender lately */
};

struct peer_job {
    string id<PEER_NAME_MAX>;
    int done;
    int running;
    string reason<PEER_REASON_MAX>;
};

struct peer_summary {
    unsigned hyper token;
    peer_job jobs<PEER_JOBS_MAX>;
};

/* "This job's record has just changed": the coordinator reads at once instead of at its next watch. */
struct peer_nudge {
    unsigned hyper revision;
};

/* Where machines listen, so that whoever takes over reaches them before the cloud's list does. */
struct peer_machine {
    string name<PEER_NAME_MAX>;
    string addr<PEER_NAME_MAX>;
    string type<PEER_NAME_MAX>;
    string zone<PEER_NAME_MAX>;
    bool spot;
};

struct peer_machines {
    unsigned hyper token;
    peer_machine machines<PEER_MACHINES_MAX>;
};

/* "This job's cancellation is committed": whoever coordinates takes it in, and need not read it anywhere. */
struct peer_cancellation {
    string job<PEER_NAME_MAX>;
    unsigned hyper revision;  /* of the record that says so */
    unsigned hyper token;     /* of the coordinator at the time of that record */
};

/* "The coordinator has taken the cancellation in": it has queued the stops, and nothing of the job can start. */
struct peer_taken {
    string job<PEER_NAME_MAX>;
    unsigned hyper revision;
    unsigned hyper token;     /* of the coordinator that says so */
};

const PEER_VERSION = 2;

enum peer_kind {
    PEER_HELLO = 1,
    PEER_SUMMARY = 2,
    PEER_NUDGE = 3,
    PEER_MACHINES = 4,
    PEER_CANCELLATION = 5,
    PEER_TAKEN = 6
};

struct peer_envelope {
    unsigned int format;      /* of the sender's messages and records */
    unsigned int kind;
    opaque body<PEER_MESSAGE_MAX>;
};
