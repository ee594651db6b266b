#include "core/records/write_queue.h"

#include "core/records/record_value.h"

struct ow_write_queue {
    GPtrArray *writes; /* struct ow_write */
};

struct ow_write_queue *ow_write_queue_new(void)
{
    struct ow_write_queue *queue = g_new0(struct ow_write_queue, 1);
    queue->writes = g_ptr_array_new_with_free_func(g_free);
    return queue;
}

void ow_write_queue_free(struct ow_write_queue *queue)
{
    g_ptr_array_free(queue->writes, TRUE);
    g_free(queue);
}

guint ow_write_queue_length(const struct ow_write_queue *queue)
{
    return queue->writes->len;
}

struct ow_write *ow_write_queue_at(const struct ow_write_queue *queue, guint position)
{
    return g_ptr_array_index(queue->writes, position);
}

static struct ow_write *add(struct ow_write_queue *queue, enum ow_write_kind kind, int order, double due_at)
{
    struct ow_write *write = g_new0(struct ow_write, 1);
    write->kind = kind;
    write->order = order;
    write->due_at = due_at;
    g_ptr_array_add(queue->writes, write);
    return write;
}

void ow_write_queue_add_record_value(struct ow_write_queue *queue, struct ow_record_value *record_value,
                                     int order, double due_at)
{
    struct ow_write *queued = record_value->queued;
    if (queued == NULL) {
        record_value->queued = add(queue, OW_WRITE_RECORD_VALUE, order, due_at);
        record_value->queued->record_value = record_value;
        return;
    }
    queued->order = MIN(queued->order, order);
    queued->due_at = MIN(queued->due_at, due_at);
}

void ow_write_queue_add_final_record(struct ow_write_queue *queue, struct ow_execution *execution, int order,
                                     double due_at)
{
    struct ow_write *write = add(queue, OW_WRITE_FINAL_RECORD, order, due_at);
    write->execution = execution;
}

static gint compare_urgency(gconstpointer a, gconstpointer b)
{
    const struct ow_write *left = *(const struct ow_write *const *)a;
    const struct ow_write *right = *(const struct ow_write *const *)b;
    if (left->order != right->order)
        return left->order < right->order ? -1 : 1;
    if (left->due_at < right->due_at)
        return -1;
    return left->due_at > right->due_at;
}

void ow_write_queue_sort(struct ow_write_queue *queue)
{
    g_ptr_array_sort(queue->writes, compare_urgency);
}

struct ow_write *ow_write_queue_take(struct ow_write_queue *queue, guint position)
{
    struct ow_write *write = g_ptr_array_steal_index(queue->writes, position);
    if (write->kind == OW_WRITE_RECORD_VALUE)
        write->record_value->queued = NULL;
    return write;
}

void ow_write_queue_remove_execution(struct ow_write_queue *queue, const struct ow_execution *execution)
{
    for (guint i = queue->writes->len; i > 0; i--) {
        const struct ow_write *write = g_ptr_array_index(queue->writes, i - 1);
        if (write->execution == execution)
            g_ptr_array_remove_index(queue->writes, i - 1);
    }
}
