/** @file
 * Queue order: the order in which waiting executions are considered.
 *
 * Input: the executions with their ages, ranks, quotas, SLOs and deadlines. Result: the waiting ones, ordered
 * by rank, quota (borrowing last), missed SLOs and queue time; promoted ones take the first place and every
 * other one after it. Invariant: the order is total, so the same state gives the same order.
 */
#ifndef OW_CORE_SCHEDULING_QUEUE_H
#define OW_CORE_SCHEDULING_QUEUE_H

#include <glib.h>

struct ow_leader;

/** The executions with waiting tasks in queue order, as struct ow_execution *, not owned; the caller frees
 * the array. Also updates `pending_since` of each execution, and whether it is promoted. */
GPtrArray *ow_queue_sorted(struct ow_leader *leader);

#endif
