#include "model/cloud.h"

void ow_machine_type_clear(void *type)
{
    struct ow_machine_type *t = type;
    g_free(t->name);
    g_strfreev(t->zones);
}

void ow_listed_machine_clear(void *machine)
{
    struct ow_listed_machine *m = machine;
    g_free(m->name);
    g_free(m->addr);
    g_free(m->type);
    g_free(m->zone);
}

void ow_cloud_request_free(struct ow_cloud_request *request)
{
    if (request == NULL)
        return;
    g_free(request->after);
    g_free(request->name);
    g_free(request->type);
    g_free(request->zone);
    if (request->machines != NULL)
        g_ptr_array_free(request->machines, TRUE);
    g_free(request);
}

void ow_cloud_reply_clear(struct ow_cloud_reply *reply)
{
    if (reply->types != NULL)
        g_array_free(reply->types, TRUE);
    if (reply->listed != NULL)
        g_array_free(reply->listed, TRUE);
    g_strfreev(reply->provisioned);
}
