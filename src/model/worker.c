#include "model/worker.h"

void ow_heartbeat_free(struct ow_heartbeat *heartbeat)
{
    if (heartbeat == NULL)
        return;
    g_free(heartbeat->machine);
    g_free(heartbeat->addr);
    g_free(heartbeat->type);
    g_free(heartbeat->zone);
    if (heartbeat->tasks != NULL)
        g_array_free(heartbeat->tasks, TRUE);
    g_free(heartbeat);
}
