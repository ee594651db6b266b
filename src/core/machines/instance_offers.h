/** @file
 * Instance offers: the kinds of machines (type, zone, spot or ordinary) that could be provisioned for a job,
 * their price, and recent refusals by the cloud. It owns the list of refusals.
 */
#ifndef OW_CORE_MACHINES_INSTANCE_OFFERS_H
#define OW_CORE_MACHINES_INSTANCE_OFFERS_H

#include "core/machines/machine.h"
#include "core/scheduling/classes.h"
#include "model/cloud.h"

#include <glib.h>
#include <stdbool.h>

struct ow_leader;

/** A machine that a plan of scale_out.h counts on: it is booting or is to be provisioned. */
struct ow_expected_machine {
    struct ow_machine machine; /**< placeholder: only type, zone, spot and load.used are set */
    bool to_provision;         /**< no call to the cloud has been sent for it yet; false if it is booting */
};

/** Which kinds of machines are considered. */
enum ow_offer_filter {
    OW_OFFERS_ALL,
    OW_OFFERS_SPOT,         /**< only spot machines */
    OW_OFFERS_NOT_WASTEFUL, /**< no machines for which ow_instance_offers_is_wasteful() holds */
};

/** Creates the empty list of a leader's refusals; the caller frees it with g_array_free(). */
GArray *ow_instance_offers_new_refusals(void);
/** Finds the cheapest kind of machine for the job that the cloud has not refused recently and that would
 * start soon enough to shorten the job's wait.
 * @param wait_s expected wait of the job without the machine
 * @param out set if true is returned
 * @return whether there is such a kind */
bool ow_instance_offers_find_cheapest(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                      double wait_s, enum ow_offer_filter filter,
                                      struct ow_expected_machine *out);
/** Whether a machine with GPUs is a waste for a class that does not need them: open jobs that need GPUs
 * are at least as urgent, or the machine's price for each task is too high. */
bool ow_instance_offers_is_wasteful(const struct ow_leader *leader, const struct ow_machine_type *type,
                                    const struct ow_class *job_class, bool spot);
/** Records that the cloud has refused to provision this kind of machine, which is then not requested for a
 * minute. */
void ow_instance_offers_add_refusal(struct ow_leader *leader, int type, int zone, bool spot);
/** Removes the refusal of the machine's kind: its deletion has returned capacity to the cloud. */
void ow_instance_offers_remove_refusal(struct ow_leader *leader, const struct ow_machine *machine);
/** Removes refusals that have expired. */
void ow_instance_offers_remove_expired(struct ow_leader *leader);

#endif
