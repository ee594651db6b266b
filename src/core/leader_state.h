/* The state of a leader, which exists only while this controller holds the leader's key. Only the modules of
 * the leader include this; everybody else uses leader.h. Each field is changed by the module named at it. */
#ifndef OW_CORE_LEADER_STATE_H
#define OW_CORE_LEADER_STATE_H

#include "core/controller.h"
#include "core/leader.h"

struct ow_recorder;

struct ow_leader {
    struct ow_controller *controller;
    uint64_t token;
    enum { OW_LEADER_REFRESH, OW_LEADER_LOADING, OW_LEADER_READY } phase;
    bool load_busy;
    double load_at;
    char *load_after;
    GArray *loaded;  /* takeover.c: records read so far */
    unsigned format; /* that may be written; 0: not known yet */
    bool format_busy;
    double format_at;
    double ready_at; /* when it became ready */

    GHashTable *machines_by_name;
    GPtrArray *machines;
    uint32_t report_generation;

    GPtrArray *runs;
    struct ow_amounts *team_used; /* by team index of the settings' order, grown as names come */
    guint team_count;
    bool *entitled, *borrows; /* by team index, of the pass at hand */

    struct ow_recorder *recorder;
    GPtrArray *record_values; /* struct ow_record_value */
    GArray *image_loads;      /* by image; placement.c's, of the pass at hand */
    GArray *shortlists;       /* by class; shortlist.c's, of the pass at hand */
    GArray *allowances;       /* reason.c's, of the pass at hand */
    bool dirty;               /* a scheduling pass is due */
    double pass_at;

    struct ow_rate_limiter cloud_limiter;
    double list_at, types_at, rent_at, summary_at, hints_at, health_check_at;
    bool listing, listed_once, types_busy;
    char *list_after;
    unsigned rentals;
    unsigned renting;          /* calls under way */
    GPtrArray *to_delete;      /* names of machines whose deletion is to be sent */
    GHashTable *deleted_names; /* names of machines deleted, which lagging lists still show */
    GArray *refusals;          /* struct ow_rental_refusal */
    int gpu_rank;              /* the most urgent rank among open jobs that need GPUs */
    double gpu_cpus;           /* CPUs that a GPU needs to be of use, by the jobs that are open */
};

#endif
