/* How far a shard is on its way from one leader to the next, as this controller sees it, with the time and
 * the cause of each step. Nothing is decided here: it is for operators, users and measurements. */
#ifndef OW_SHARDING_HANDOVER_H
#define OW_SHARDING_HANDOVER_H

#include "sharding/membership.h"

#include <glib.h>
#include <stdint.h>

enum ow_handover_phase {
    OW_HANDOVER_UNKNOWN,       /* this controller does not know yet who leads */
    OW_HANDOVER_ELSEWHERE,     /* another controller leads */
    OW_HANDOVER_SUSPECTED,     /* another one leads, and is suspected */
    OW_HANDOVER_LEASE_EXPIRED, /* the key-value store shows that nobody leads */
    OW_HANDOVER_KEY_TAKEN,     /* our transaction has committed: its leader is deposed, we lead */
    OW_HANDOVER_RECORDS,       /* we lead, and have read the records */
    OW_HANDOVER_SERVING,       /* we lead, and every machine that reports has seen our fencing token */
};

struct ow_handover_step {
    enum ow_handover_phase phase;
    double at;
    char *cause;
};

struct ow_handover {
    GArray *steps; /* struct ow_handover_step, the last ones, in order; never empty */
    char *leader;  /* who leads or led last; NULL: unknown */
    uint64_t fencing_token;
    double fault_at; /* when the present handover began: the first sign that the leader is gone; 0: none */
};

/* What the phase follows from. */
struct ow_handover_view {
    const char *self;
    const char *leader_name;        /* who leads as far as known, or NULL */
    const struct ow_member *leader; /* that controller as a member; NULL: ourselves, or unknown */
    uint64_t fencing_token;         /* ours; 0: we do not lead */
    bool key_missing, records_read;
    bool settled; /* every live machine has had the time to report to us */
    unsigned machines, fenced;
};

void ow_handover_init(struct ow_handover *handover, double now);
void ow_handover_clear(struct ow_handover *handover);
/* Notes and logs a new phase of the shard, if there is one. */
void ow_handover_update(struct ow_handover *handover, const char *shard, const struct ow_handover_view *view,
                        double now);
const struct ow_handover_step *ow_handover_last(const struct ow_handover *handover);
/* The phase as words for operators. */
const char *ow_handover_phase_name(enum ow_handover_phase phase);
/* What users are told while the shard can't start anything (g_free); NULL: it can, as far as is known. */
char *ow_handover_reason(const struct ow_handover *handover, const char *shard);

#endif
