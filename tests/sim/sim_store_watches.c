/* The watches of the simulated key-value store. Tests may withhold their responses (`silent_watches`)
 * and limit the number of changes in one response (`watch_changes_max`). */
#include "sim_store_internal.h"

#include "model/effect.h"

/* A watch that has no response yet. */
struct watch {
    int controller;
    uint64_t nonce, tag, since;
    char *prefix;
    double deadline;
};

static void free_watch(struct watch *watch)
{
    g_free(watch->prefix);
    g_free(watch);
}

void sim_watches_clear(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->watches->len; i++)
        free_watch(g_ptr_array_index(cluster->watches, i));
    g_ptr_array_free(cluster->watches, TRUE);
}

/* Answers a watch and takes ownership of the changes. If there are too many, the response is 413 without any,
 * as the client rejects a response that is too large. */
static void answer_changes(struct sim_cluster *cluster, int controller, uint64_t nonce, uint64_t tag,
                           GArray *items)
{
    bool too_large = cluster->watch_changes_max > 0 && items->len > cluster->watch_changes_max;
    if (too_large)
        g_array_set_size(items, 0);
    sim_store_respond(cluster, controller, nonce,
                      (struct ow_store_reply){.tag = tag, .status = too_large ? 413 : 200, .items = items});
}

void sim_store_watch(struct sim_cluster *cluster, int controller, uint64_t nonce,
                     const struct ow_store_request *request)
{
    GArray *items = sim_changes_since(cluster, request->key, request->since_revision);
    if (items->len > 0 || request->duration_s <= 0) {
        answer_changes(cluster, controller, nonce, request->tag, items);
        return;
    }
    g_array_free(items, TRUE);
    struct watch *watch = g_new0(struct watch, 1);
    *watch = (struct watch){controller,
                            nonce,
                            request->tag,
                            request->since_revision,
                            g_strdup(request->key),
                            cluster->now + request->duration_s};
    g_ptr_array_add(cluster->watches, watch);
}

void sim_answer_watches(struct sim_cluster *cluster)
{
    for (guint i = cluster->watches->len; i > 0 && !cluster->store_down; i--) {
        struct watch *watch = g_ptr_array_index(cluster->watches, i - 1);
        if (watch->controller == cluster->isolated_controller ||
            watch->controller == cluster->controller_without_store)
            continue;
        GArray *items = sim_changes_since(cluster, watch->prefix, watch->since);
        if ((items->len == 0 || cluster->silent_watches) && cluster->now < watch->deadline) {
            g_array_free(items, TRUE);
            continue;
        }
        answer_changes(cluster, watch->controller, watch->nonce, watch->tag, items);
        free_watch(watch);
        g_ptr_array_remove_index_fast(cluster->watches, i - 1);
    }
}
