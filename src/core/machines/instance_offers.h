/** @file
 * Instance offers: which kinds of machines could be provisioned for a job, what they are worth, and which the
 * cloud has refused lately. It owns the list of refusals.
 */
#ifndef OW_CORE_MACHINES_INSTANCE_OFFERS_H
#define OW_CORE_MACHINES_INSTANCE_OFFERS_H

#include "core/machines/machine.h"
#include "core/scheduling/classes.h"
#include "model/cloud.h"

#include <glib.h>
#include <stdbool.h>

struct ow_leader;

/** A machine that work could have: one that is coming up, or one to be provisioned. */
struct ow_expected_machine {
    struct ow_machine machine; /* a stand-in: type, zone, kind and use alone */
    bool to_provision;
};

/** Which kinds of machines are considered. */
enum ow_offer_filter {
    OW_OFFERS_ALL,
    OW_OFFERS_SPOT,         /**< spot machines alone */
    OW_OFFERS_NOT_WASTEFUL, /**< no machine whose GPUs would be wasted on the job */
};

/** The empty list of a leader's refusals; freed with g_array_free(). */
GArray *ow_instance_offers_new_refusals(void);
/** Finds the cheapest kind of machine for the job that has not been refused lately and would start in time to
 * help.
 * @param wait_s how long the job would wait without it
 * @param out filled in if true is returned
 * @return whether there is one */
bool ow_instance_offers_find_cheapest(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                      double wait_s, enum ow_offer_filter filter,
                                      struct ow_expected_machine *out);
/** Whether a machine with GPUs would be too expensive for work that does not need them. */
bool ow_instance_offers_is_wasteful(const struct ow_leader *leader, const struct ow_machine_type *type,
                                    const struct ow_class *job_class, bool spot);
/** Notes that the cloud has refused to provision this kind of machine; it is not asked again for a while. */
void ow_instance_offers_add_refusal(struct ow_leader *leader, int type, int zone, bool spot);
/** Forgets the refusal of the machine's kind: a machine of it has gone back to the cloud. */
void ow_instance_offers_remove_refusal(struct ow_leader *leader, const struct ow_machine *machine);
/** Forgets refusals that have expired. */
void ow_instance_offers_remove_expired(struct ow_leader *leader);

#endif
