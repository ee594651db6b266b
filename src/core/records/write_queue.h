/* The queue of writes: which records have to be written, how urgently, and from when on. It holds at most
 * one write for each record value, and owns the writes in it. */
#ifndef OW_CORE_RECORDS_WRITE_QUEUE_H
#define OW_CORE_RECORDS_WRITE_QUEUE_H

#include <glib.h>

struct ow_record_value;
struct ow_execution;
struct ow_write_queue;

enum ow_write_kind { OW_WRITE_RECORD_VALUE, OW_WRITE_FINISH };

/* The urgency of writes: a lower order is written first. Launches stand between OW_ORDER_FINISH and
   OW_ORDER_LAZY, by the rank of their job. */
enum { OW_ORDER_FINISH = 5, OW_ORDER_LAZY = 100, OW_ORDER_TIDY = 200 };

struct ow_write {
    enum ow_write_kind kind;
    struct ow_execution *execution;       /* of OW_WRITE_FINISH; NULL once the run is gone */
    struct ow_record_value *record_value; /* of OW_WRITE_RECORD_VALUE */
    double due_at;                        /* it need not be written before this time */
    int order;
};

/* An empty queue; freed by ow_write_queue_free(). */
struct ow_write_queue *ow_write_queue_new(void);
void ow_write_queue_free(struct ow_write_queue *queue);
/* How many writes wait. */
guint ow_write_queue_length(const struct ow_write_queue *queue);
/* The write at a position below the length; the queue goes on owning it. */
struct ow_write *ow_write_queue_at(const struct ow_write_queue *queue, guint position);
/* Queues the record value. If it is queued already, the more urgent order and the earlier time count. */
void ow_write_queue_add_record_value(struct ow_write_queue *queue, struct ow_record_value *record_value,
                                     int order, double due_at);
/* Queues the final record of the run's job. */
void ow_write_queue_add_finish(struct ow_write_queue *queue, struct ow_execution *execution, int order,
                               double due_at);
/* Sorts the queue: the most urgent order first, within it the earliest time. */
void ow_write_queue_sort(struct ow_write_queue *queue);
/* Takes the write at a position out of the queue; the caller frees it with g_free(). */
struct ow_write *ow_write_queue_take(struct ow_write_queue *queue, guint position);
/* Removes the writes of a run that is about to be freed. */
void ow_write_queue_remove_execution(struct ow_write_queue *queue, const struct ow_execution *execution);

#endif
