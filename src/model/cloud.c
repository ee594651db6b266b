#include "model/cloud.h"

void ow_machine_type_clear(void *type)
{
    struct ow_machine_type *cleared = type;
    g_free(cleared->name);
    g_strfreev(cleared->zones);
}

void ow_listed_machine_clear(void *machine)
{
    struct ow_listed_machine *cleared = machine;
    g_free(cleared->name);
    g_free(cleared->addr);
    g_free(cleared->type);
    g_free(cleared->zone);
}

void ow_cloud_request_free(struct ow_cloud_request *request)
{
    if (request == NULL)
        return;
    g_free(request->after);
    g_free(request->name);
    g_free(request->type);
    g_free(request->zone);
    g_clear_pointer(&request->machines, g_ptr_array_unref);
    g_free(request);
}

void ow_cloud_reply_clear(struct ow_cloud_reply *reply)
{
    g_clear_pointer(&reply->types, g_array_unref);
    g_clear_pointer(&reply->listed, g_array_unref);
    g_clear_pointer(&reply->provisioned, g_strfreev);
}
