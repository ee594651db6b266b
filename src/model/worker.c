#include "model/worker.h"

const char *ow_exit_cause_name(enum ow_exit_cause cause)
{
    static const char *const names[] = {
        [OW_CAUSE_NONE] = "none",
        [OW_CAUSE_DONE] = "done",
        [OW_CAUSE_STOPPED] = "stopped",
        [OW_CAUSE_PEERS] = "peers",
        [OW_CAUSE_INCOMPLETE] = "incomplete",
        [OW_CAUSE_ERROR] = "error",
        [OW_CAUSE_FULL] = "full",
        [OW_CAUSE_BUSY] = "busy",
        [OW_CAUSE_UNKNOWN] = "unknown",
    };
    return names[cause];
}

void ow_heartbeat_free(struct ow_heartbeat *heartbeat)
{
    if (heartbeat == NULL)
        return;
    g_free(heartbeat->machine);
    g_free(heartbeat->addr);
    g_free(heartbeat->type);
    g_free(heartbeat->zone);
    g_clear_pointer(&heartbeat->tasks, g_array_unref);
    g_free(heartbeat);
}
