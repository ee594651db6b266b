#include "model/worker.h"

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
