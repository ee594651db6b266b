/** @file
 * The queue of writes: which records must be written, with their urgency and due time.
 *
 * It holds at most one write for each record value (`ow_record_value.queued`) and owns the writes in it. It
 * does not encode anything: a record is encoded when its write is taken out, from the state at that time.
 */
#ifndef OW_CORE_RECORDS_WRITE_QUEUE_H
#define OW_CORE_RECORDS_WRITE_QUEUE_H

#include <glib.h>

struct ow_record_value;
struct ow_execution;
struct ow_write_queue;

/** What a write records. */
enum ow_write_kind {
    OW_WRITE_RECORD_VALUE, /**< the progress records of a record value */
    OW_WRITE_FINAL_RECORD, /**< how a job ended */
};

/** The urgency of writes: a lower order is written first. Final records come first, then launches by the rank
 * of their job, then progress that nothing depends on. */
enum ow_write_order {
    OW_ORDER_FINAL_RECORD = 5,
    OW_ORDER_LAUNCH = 10, /**< of the most urgent rank */
    OW_ORDER_PROGRESS = 100,
    OW_ORDER_BACKGROUND = 200, /**< removal of obsolete records */
};

/** A write that waits in the queue, or is in the transaction in flight. */
struct ow_write {
    enum ow_write_kind kind;
    struct ow_execution *execution;       /**< of a final record; NULL once the execution is freed */
    struct ow_record_value *record_value; /**< of a record value */
    double due_at;                        /**< it need not be written before this time */
    int order;                            /**< enum ow_write_order, or between two of them for launches */
};

/** Creates an empty queue; freed by ow_write_queue_free(). */
struct ow_write_queue *ow_write_queue_new(void);
/** Frees the queue with its writes. */
void ow_write_queue_free(struct ow_write_queue *queue);
/** Number of writes in the queue. */
guint ow_write_queue_length(const struct ow_write_queue *queue);
/** The write at a position below the length; the queue keeps ownership. */
struct ow_write *ow_write_queue_at(const struct ow_write_queue *queue, guint position);
/** Queues the record value. If it is queued already, its write gets the more urgent order and the
 * earlier time. */
void ow_write_queue_add_record_value(struct ow_write_queue *queue, struct ow_record_value *record_value,
                                     int order, double due_at);
/** Queues the final record of the execution's job. */
void ow_write_queue_add_final_record(struct ow_write_queue *queue, struct ow_execution *execution, int order,
                                     double due_at);
/** Sorts the queue by urgency: lowest order first, within it the earliest due time first. */
void ow_write_queue_sort(struct ow_write_queue *queue);
/** Removes the write at a position from the queue and returns it; the caller frees it with g_free(). */
struct ow_write *ow_write_queue_take(struct ow_write_queue *queue, guint position);
/** Removes the writes of an execution that is about to be freed. */
void ow_write_queue_remove_execution(struct ow_write_queue *queue, const struct ow_execution *execution);

#endif
