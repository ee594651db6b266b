#include "core/jobs/refresh_waiters.h"

#include "core/invariants.h"

#include <glib.h>

struct waiter {
    ow_refreshed_fn fn;
    void *data;
    double added_at;
};

struct ow_refresh_waiters {
    GArray *callers; /* struct waiter, in the order in which they were added */
};

static void clear_waiter(void *item)
{
    g_free(((struct waiter *)item)->data);
}

static GArray *new_callers(void)
{
    GArray *callers = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    g_array_set_clear_func(callers, clear_waiter);
    return callers;
}

struct ow_refresh_waiters *ow_refresh_waiters_new(void)
{
    struct ow_refresh_waiters *waiters = g_new0(struct ow_refresh_waiters, 1);
    waiters->callers = new_callers();
    return waiters;
}

void ow_refresh_waiters_free(struct ow_refresh_waiters *waiters)
{
    g_array_free(waiters->callers, TRUE);
    g_free(waiters);
}

void ow_refresh_waiters_add(struct ow_refresh_waiters *waiters, ow_refreshed_fn fn, void *data, double now)
{
    struct waiter waiter = {.fn = fn, .data = data, .added_at = now};
    g_array_append_val(waiters->callers, waiter);
}

unsigned ow_refresh_waiters_count(const struct ow_refresh_waiters *waiters)
{
    return waiters->callers->len;
}

double ow_refresh_waiters_oldest_s(const struct ow_refresh_waiters *waiters, double now)
{
    return waiters->callers->len > 0 ? now - g_array_index(waiters->callers, struct waiter, 0).added_at : 0;
}

void ow_refresh_waiters_answer(struct ow_refresh_waiters *waiters, struct ow_core *core,
                               enum ow_refresh_result result)
{
    g_autoptr(GArray) callers = waiters->callers;
    waiters->callers = new_callers();
    for (guint i = 0; i < callers->len; i++) {
        const struct waiter *waiter = &g_array_index(callers, struct waiter, i);
        waiter->fn(core, waiter->data, result);
    }
}

static bool is_later_than_all(const struct ow_refresh_waiters *waiters, struct ow_core *core,
                              const struct ow_refresh *refresh)
{
    guint count = waiters->callers->len;
    double newest_at = count > 0 ? g_array_index(waiters->callers, struct waiter, count - 1).added_at : 0;
    const struct ow_invariant invariant = {
        .name = "answers_rest_on_a_later_read",
        .revision = refresh->revision,
        .age_s = newest_at - refresh->sent_at,
    };
    return ow_invariant_check(core, newest_at <= refresh->sent_at, &invariant);
}

void ow_refresh_waiters_finish(struct ow_refresh_waiters *waiters, struct ow_core *core,
                               const struct ow_refresh *refresh)
{
    bool may_answer = refresh->has_succeeded && is_later_than_all(waiters, core, refresh);
    ow_refresh_waiters_answer(waiters, core, may_answer ? OW_REFRESH_DONE : OW_REFRESH_FAILED);
}
