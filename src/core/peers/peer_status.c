#include "core/peers/peer_status.h"

#include "model/peer.h"

#include <glib.h>

/* Maximum age of a peer's message that counts as recent. */
static const double RECENT_MAX_AGE_S = 4;

struct ow_peer_status {
    GHashTable *formats;           /* controller name -> GUINT_TO_POINTER: its format version */
    GHashTable *store_ok_at;       /* controller name -> double *: when it last reported a working store */
    double receives_heartbeats_at; /* when a peer last reported heartbeats of workers */
    double last_message_at;        /* the last message of any peer; 0: none yet */
};

struct ow_peer_status *ow_peer_status_new(void)
{
    struct ow_peer_status *status = g_new0(struct ow_peer_status, 1);
    status->formats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    status->store_ok_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return status;
}

void ow_peer_status_free(struct ow_peer_status *status)
{
    g_hash_table_destroy(status->formats);
    g_hash_table_destroy(status->store_ok_at);
    g_free(status);
}

void ow_peer_status_note_message(struct ow_peer_status *status, double now)
{
    status->last_message_at = now;
}

static void note_store_ok(struct ow_peer_status *status, const char *controller_name, double now)
{
    double *ok_at = g_new(double, 1);
    *ok_at = now;
    g_hash_table_replace(status->store_ok_at, g_strdup(controller_name), ok_at);
}

void ow_peer_status_note_hello(struct ow_peer_status *status, const struct ow_peer_message *message,
                               double now)
{
    if (message->hello.receives_heartbeats)
        status->receives_heartbeats_at = now;
    if (message->sender == NULL)
        return;
    g_hash_table_replace(status->formats, g_strdup(message->sender), GUINT_TO_POINTER(message->version));
    if (message->hello.store_ok)
        note_store_ok(status, message->sender, now);
}

unsigned ow_peer_status_format(const struct ow_peer_status *status, const char *controller_name)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(status->formats, controller_name));
}

bool ow_peer_status_store_answers(const struct ow_peer_status *status, const char *controller_name,
                                  double now, double within_s)
{
    const double *ok_at = g_hash_table_lookup(status->store_ok_at, controller_name);
    return ok_at != NULL && now - *ok_at < within_s;
}

bool ow_peer_status_any_store_answers(const struct ow_peer_status *status, double now)
{
    GHashTableIter iter;
    void *ok_at;
    g_hash_table_iter_init(&iter, status->store_ok_at);
    while (g_hash_table_iter_next(&iter, NULL, &ok_at))
        if (now - *(const double *)ok_at < RECENT_MAX_AGE_S)
            return true;
    return false;
}

bool ow_peer_status_has_recent_message(const struct ow_peer_status *status, double now)
{
    return status->last_message_at > 0 && now - status->last_message_at < RECENT_MAX_AGE_S;
}

bool ow_peer_status_receives_heartbeats(const struct ow_peer_status *status, double now, double within_s)
{
    return now - status->receives_heartbeats_at < within_s;
}
