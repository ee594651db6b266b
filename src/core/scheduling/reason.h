/* Why a job waits, in words for its team. */
#ifndef OW_CORE_SCHEDULING_REASON_H
#define OW_CORE_SCHEDULING_REASON_H

#include <glib.h>

struct ow_leader;
struct ow_execution;

/* The empty cache of a leader, of machine counts by demand; emptied at each cycle, freed with
   g_array_free(). */
GArray *ow_reason_new_allowances(void);
/* Sets the reason of the run's job, or clears it if no task waits. */
void ow_reason_waits(struct ow_leader *leader, struct ow_execution *execution);

#endif
