#include "core/types.h"

void ow_amounts_add(struct ow_amounts *sum, const struct ow_amounts *need, double times)
{
    sum->cpus += times * need->cpus;
    sum->gpus += times * need->gpus;
    sum->memory_gb += times * need->memory_gb;
}

void ow_submission_free(struct ow_submission *submission)
{
    if (submission == NULL)
        return;
    g_free(submission->id);
    g_free(submission->class_name);
    g_free(submission->team);
    g_free(submission->image);
    g_strfreev(submission->types);
    g_free(submission->zone);
    g_free(submission);
}

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
