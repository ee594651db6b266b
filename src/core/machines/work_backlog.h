/** @file
 * The backlog of pending work, accumulated job by job in the order of the queue, and an estimate of how long
 * each job waits for the machines that are up or planned.
 */
#ifndef OW_CORE_MACHINES_WORK_BACKLOG_H
#define OW_CORE_MACHINES_WORK_BACKLOG_H

#include <glib.h>

struct ow_execution;
struct ow_leader;

/** The pending work of the jobs added so far; opaque. */
struct ow_work_backlog;

/** Creates an empty backlog for one planning round; freed by ow_work_backlog_free(). */
struct ow_work_backlog *ow_work_backlog_new(void);
/** Frees a backlog. @param backlog may be NULL */
void ow_work_backlog_free(struct ow_work_backlog *backlog);

/** Alias of the struct, as g_autoptr() requires. */
typedef struct ow_work_backlog ow_work_backlog;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_work_backlog, ow_work_backlog_free)

/** Adds the execution's pending tasks.
 * @param plan struct ow_expected_machine: machines that are booting or to be provisioned
 * @return expected seconds until the last of these tasks can start; INFINITY if no machine can run them, and
 * for a service, whose replicas don't end and so free no room for one another */
double ow_work_backlog_add(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                           const struct ow_execution *execution, const GArray *plan);

#endif
