/** @file
 * Provisioning: requests planned machines from the cloud, registers those that it gives, and records the
 * kinds of machines that it refuses.
 */
#ifndef OW_CORE_MACHINES_PROVISIONING_H
#define OW_CORE_MACHINES_PROVISIONING_H

#include <glib.h>
#include <stdbool.h>

struct ow_leader;
struct ow_provisioning;

/** Creates the state of a leader's calls, with none in flight; freed by ow_provisioning_free(). */
struct ow_provisioning *ow_provisioning_new(void);
/** Frees the state. @param provisioning may be NULL */
void ow_provisioning_free(struct ow_provisioning *provisioning);

/** Requests the machines of the plan that are to be provisioned: one call for each kind, in the order of the
 * plan, within the cloud's rate limit. The others have to be planned again.
 * @param plan struct ow_expected_machine */
void ow_provisioning_request(struct ow_leader *leader, GArray *plan);
/** Whether a call has not been answered yet. */
bool ow_provisioning_is_in_flight(const struct ow_leader *leader);
/** Whether the cloud has answered a call since this function was last called. */
bool ow_provisioning_take_answered(struct ow_leader *leader);

#endif
