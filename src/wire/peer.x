/* What controllers tell each other. Nothing here is needed for safety: a lost message costs time only. */

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

enum peer_kind { PEER_HELLO = 1, PEER_SUMMARY = 2, PEER_NUDGE = 3, PEER_MACHINES = 4 };

union peer_message switch (peer_kind kind) {
case PEER_HELLO:
    peer_hello hello;
case PEER_SUMMARY:
    peer_summary summary;
case PEER_NUDGE:
    peer_nudge nudge;
case PEER_MACHINES:
    peer_machines machines;
};
