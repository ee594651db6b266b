#include "core/types.h"

void ow_amounts_add(struct ow_amounts *sum, const struct ow_amounts *need, double times)
{
    sum->cpus += times * need->cpus;
    sum->gpus += times * need->gpus;
    sum->memory_gb += times * need->memory_gb;
}

void ow_submission_free(struct ow_submission *s)
{
    if (s == NULL)
        return;
    g_free(s->id);
    g_free(s->class_name);
    g_free(s->team);
    g_free(s->image);
    g_strfreev(s->types);
    g_free(s->zone);
    g_free(s);
}

void ow_report_free(struct ow_report *r)
{
    if (r == NULL)
        return;
    g_free(r->machine);
    g_free(r->addr);
    g_free(r->type);
    g_free(r->zone);
    if (r->tasks != NULL)
        g_array_free(r->tasks, TRUE);
    g_free(r);
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
