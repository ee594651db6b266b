/** @file
 * The backlog of waiting work, taken job by job in the order of the queue, and how long each job would wait
 * for the machines that are up or planned.
 */
#ifndef OW_CORE_MACHINES_WORK_BACKLOG_H
#define OW_CORE_MACHINES_WORK_BACKLOG_H

#include <glib.h>

struct ow_execution;
struct ow_leader;

/** Work that waits, by the jobs that were added. */
struct ow_work_backlog;

/** An empty backlog for one round of planning; freed by ow_work_backlog_free(). */
struct ow_work_backlog *ow_work_backlog_new(void);
/** Frees it. @param backlog may be NULL */
void ow_work_backlog_free(struct ow_work_backlog *backlog);

/** The name that g_autoptr() takes. */
typedef struct ow_work_backlog ow_work_backlog;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_work_backlog, ow_work_backlog_free)

/** Adds the execution's pending tasks.
 * @param plan struct ow_expected_machine: machines that are coming up or to be provisioned
 * @return expected seconds until the last of them can start; INFINITY if no machine is of use to them, and
 * for a service: its replicas free no place for one another, and none of them may wait */
double ow_work_backlog_add(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                           const struct ow_execution *execution, const GArray *plan);

#endif
