#include "model/resources.h"

void ow_resources_add(struct ow_resources *sum, const struct ow_resources *need, double times)
{
    sum->cpus += times * need->cpus;
    sum->gpus += times * need->gpus;
    sum->memory_gb += times * need->memory_gb;
}
