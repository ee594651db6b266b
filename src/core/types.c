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

void ow_report_free(struct ow_report *report)
{
    if (report == NULL)
        return;
    g_free(report->machine);
    g_free(report->addr);
    g_free(report->type);
    g_free(report->zone);
    if (report->tasks != NULL)
        g_array_free(report->tasks, TRUE);
    g_free(report);
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
