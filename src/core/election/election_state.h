/* The state of the election and the changes between its stages, shared by the modules of this folder.
 * Everybody else uses election.h. */
#ifndef OW_CORE_ELECTION_ELECTION_STATE_H
#define OW_CORE_ELECTION_ELECTION_STATE_H

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_election_callbacks;

enum ow_election_stage {
    OW_ELECTION_LOOKING, /* another controller may lead: its key is read and watched */
    OW_ELECTION_LEASING, /* a lease is obtained, to take the key with it */
    OW_ELECTION_TAKING,  /* the key is written */
    OW_ELECTION_LEADING,
};

struct ow_election {
    struct ow_core *core;
    const struct ow_election_callbacks *callbacks;
    enum ow_election_stage stage;
    bool busy;     /* a request of the present stage is under way */
    double act_at; /* no request of the stage before this time */
    uint64_t lease;
    uint64_t key_version; /* of the key as last read; 0: nobody holds it */
    bool key_known;       /* key_version and leader_name are from the key-value store */
    bool key_missing;     /* as last read, nobody held it; stays true while the reading is repeated */
    bool has_waited;      /* the missing key has been left to others for the election delay */
    char *leader_name;
    uint64_t fencing_token;      /* ours in stage OW_ELECTION_LEADING */
    uint64_t seen_fencing_token; /* the highest known */
    uint64_t taken_from;         /* the version that our attempt to take the key replaces */
    bool renewing;
    double renew_at;
    bool watching;
    double watch_at;
    uint64_t revision; /* the key is watched from here on */
    double led_since;  /* when we first saw the key's present holder */
    double began_at;   /* when we became the leader */
};

/* How long after a failed request the next one is sent, in seconds. */
#define OW_ELECTION_RETRY_S 0.4

/* Replaces the name of the leader by a copy of `leader_name`; NULL: unknown or none. */
void ow_election_set_leader_name(struct ow_election *election, const char *leader_name);
/* Begins again with reading the key, `after_s` seconds from now. */
void ow_election_look_again(struct ow_election *election, double after_s);
/* Tries to take the key, with a new lease: one from an earlier try may have run out. */
void ow_election_run_for_leader(struct ow_election *election);
/* Begins to lead with a fencing token, the revision of the write that took the key. */
void ow_election_begin_to_lead(struct ow_election *election, uint64_t fencing_token);
/* Ends the leader's state if we lead, and reads the key again. `why` is for the log. */
void ow_election_step_down(struct ow_election *election, const char *why);

#endif
