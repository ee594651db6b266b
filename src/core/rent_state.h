/* What the files that rent and return machines share. */
#ifndef OW_CORE_RENT_STATE_H
#define OW_CORE_RENT_STATE_H

#include "core/lead_state.h"

/* A machine that work could have: one that is coming up, or one to be rented. */
struct ow_coming {
    struct ow_machine machine; /* a stand-in: type, zone, kind and use alone */
    bool to_rent;
};

/* kinds.c */
/* The cheapest kind of machine for the job that has not been refused lately. `waits`: how long the
   job would wait without it; `proper`: no machine whose GPUs would be wasted on it; `cheap`: spot alone. */
bool ow_kinds_best(const struct ow_lead *lead, const struct ow_spec *spec, double waits, bool proper,
                   bool cheap, struct ow_coming *out);
/* Whether a machine with GPUs would be too dear for work without need of them. */
bool ow_kinds_wasteful(const struct ow_lead *lead, const struct ow_machine_type *type,
                       const struct ow_class *c, bool spot);
/* A machine of its kind has gone back: its place is free again. */
void ow_kinds_forget_refusal(struct ow_lead *lead, const struct ow_machine *m);
void ow_kinds_refuse(struct ow_lead *lead, int type, int zone, bool spot);
void ow_kinds_forget_old(struct ow_lead *lead);

/* spare.c: room kept ready for classes that can't wait for a machine to boot */
void ow_spare_plan(struct ow_lead *lead, GArray *plan, unsigned *most);
/* The machines that are idle and that no tight class needs ready, dearest first; the caller frees the array.
 */
GPtrArray *ow_spare_unneeded(struct ow_lead *lead, bool (*idle)(const struct ow_machine *m));

/* fleet.c */
void ow_fleet_list(struct ow_lead *lead);
void ow_fleet_return_idle(struct ow_lead *lead);

#endif
