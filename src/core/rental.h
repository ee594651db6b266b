/* What the files that rent and return machines share. */
#ifndef OW_CORE_RENTAL_H
#define OW_CORE_RENTAL_H

#include "core/leader_state.h"

/* A machine that work could have: one that is coming up, or one to be rented. */
struct ow_expected_machine {
    struct ow_machine machine; /* a stand-in: type, zone, kind and use alone */
    bool to_rent;
};

/* rental_options.c */
/* The cheapest kind of machine for the job that has not been refused lately. `waits`: how long the
   job would wait without it; `proper`: no machine whose GPUs would be wasted on it; `cheap`: spot alone. */
bool ow_rental_options_best(const struct ow_leader *leader, const struct ow_spec *spec, double waits,
                            bool proper, bool cheap, struct ow_expected_machine *out);
/* Whether a machine with GPUs would be too dear for work without need of them. */
bool ow_rental_options_is_wasteful(const struct ow_leader *leader, const struct ow_machine_type *type,
                                   const struct ow_class *c, bool spot);
/* A machine of its kind has gone back: its place is free again. */
void ow_rental_options_forget_refusal(struct ow_leader *leader, const struct ow_machine *m);
void ow_rental_options_refuse(struct ow_leader *leader, int type, int zone, bool spot);
void ow_rental_options_forget_old(struct ow_leader *leader);

/* headroom.c: room kept ready for classes that can't wait for a machine to boot */
void ow_headroom_plan(struct ow_leader *leader, GArray *plan, unsigned *most);
/* The machines that are idle and that no tight class needs ready, dearest first; the caller frees the array.
 */
GPtrArray *ow_headroom_unneeded(struct ow_leader *leader, bool (*idle)(const struct ow_machine *m));

/* fleet.c */
void ow_fleet_list(struct ow_leader *leader);
void ow_fleet_return_idle(struct ow_leader *leader);

#endif
