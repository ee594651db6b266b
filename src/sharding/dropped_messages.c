#include "sharding/dropped_messages.h"

#include <glib.h>

/* Minimum interval between log lines: a misconfigured peer sends several messages a second. */
static const double LOG_INTERVAL_S = 10;

static const char *cause_name(enum ow_drop_cause cause)
{
    static const char *const names[] = {
        [OW_DROP_NONE] = "none",
        [OW_DROP_UNKNOWN_SENDER] = "unknown_sender",
        [OW_DROP_NO_INCARNATION] = "no_incarnation",
        [OW_DROP_OLD_INCARNATION] = "old_incarnation",
        [OW_DROP_OLD_SEQUENCE] = "old_sequence",
        [OW_DROP_MISADDRESSED_PROBE] = "misaddressed_probe",
    };
    return names[cause];
}

void ow_dropped_messages_add(struct ow_dropped_messages *dropped, double now, const char *sender,
                             enum ow_drop_cause cause)
{
    dropped->count++;
    if (dropped->count > 1 && now - dropped->logged_at < LOG_INTERVAL_S)
        return;
    dropped->logged_at = now;
    g_info("peer message dropped: controller=%s cause=%s count=%u", sender != NULL ? sender : "(unnamed)",
           cause_name(cause), dropped->count);
}
