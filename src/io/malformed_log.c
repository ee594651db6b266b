#include "io/malformed_log.h"

#include "util/rate_limiter.h"

/* Lines on one interface: sustained rate, and largest burst. */
static const double LINES_PER_S = 0.5;
static const double LINES_BURST = 5;

enum { INTERFACES = OW_INTERFACE_STORE + 1 };

static const char *const interface_names[INTERFACES] = {
    [OW_INTERFACE_USER] = "user",
    [OW_INTERFACE_WORKER] = "worker",
    [OW_INTERFACE_CLOUD] = "cloud",
    [OW_INTERFACE_STORE] = "store",
};

/* What was received by one interface. */
struct received {
    struct ow_rate_limiter lines;
    unsigned count;    /* since the last periodic line */
    unsigned unlogged; /* since the last line on a message */
};

struct ow_malformed_log {
    struct received received[INTERFACES];
};

struct ow_malformed_log *ow_malformed_log_new(double now)
{
    struct ow_malformed_log *log = g_new0(struct ow_malformed_log, 1);
    for (int i = 0; i < INTERFACES; i++)
        ow_rate_limiter_init(&log->received[i].lines, LINES_PER_S, LINES_BURST, now);
    return log;
}

void ow_malformed_log_free(struct ow_malformed_log *log)
{
    g_free(log);
}

static void log_message(const struct ow_malformed_message *message, unsigned unlogged)
{
    const char *interface = interface_names[message->interface];
    const char *endpoint = message->endpoint != NULL ? message->endpoint : "unknown";
    if (message->interface == OW_INTERFACE_USER)
        g_info("malformed request refused: interface=%s endpoint=%s bytes=%zu unlogged=%u reason=\"%s\"",
               interface, endpoint, message->bytes, unlogged, message->reason);
    else
        g_warning("message can't be read: interface=%s endpoint=%s bytes=%zu unlogged=%u reason=\"%s\"",
                  interface, endpoint, message->bytes, unlogged, message->reason);
}

void ow_malformed_log_note(struct ow_malformed_log *log, const struct ow_malformed_message *message,
                           double now)
{
    struct received *received = &log->received[message->interface];
    received->count++;
    if (!ow_rate_limiter_take(&received->lines, 1, now)) {
        received->unlogged++;
        return;
    }
    log_message(message, received->unlogged);
    received->unlogged = 0;
}

void ow_malformed_log_flush(struct ow_malformed_log *log)
{
    const struct received *received = log->received;
    unsigned total = 0;
    for (int i = 0; i < INTERFACES; i++)
        total += received[i].count;
    if (total > 0)
        g_info("malformed messages: user=%u worker=%u cloud=%u store=%u", received[OW_INTERFACE_USER].count,
               received[OW_INTERFACE_WORKER].count, received[OW_INTERFACE_CLOUD].count,
               received[OW_INTERFACE_STORE].count);
    for (int i = 0; i < INTERFACES; i++)
        log->received[i].count = 0;
}
