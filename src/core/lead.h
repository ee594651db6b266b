/* The coordinator's part of a controller: it exists only while this controller holds the key. */
#ifndef OW_CORE_LEAD_H
#define OW_CORE_LEAD_H

#include "core/effects.h"

struct ow_node;
struct ow_job;
struct ow_lead;

struct ow_lead *ow_lead_new(struct ow_node *node, uint64_t token);
void ow_lead_free(struct ow_lead *lead);
/* Takes a worker's report and answers it. */
void ow_lead_report(struct ow_lead *lead, uint64_t request, const struct ow_report *report);
/* Takes a committed cancellation in: its stops are queued. False while something of the job may still start,
   or while its tasks are not all in our hands. */
bool ow_lead_cancel(struct ow_lead *lead, struct ow_job *job);
/* Jobs have changed: a scheduling pass is due. */
void ow_lead_wake(struct ow_lead *lead);
void ow_lead_tick(struct ow_lead *lead);

#endif
