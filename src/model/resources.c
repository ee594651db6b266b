#include "model/resources.h"

void ow_resources_add(struct ow_resources *sum, const struct ow_resources *amount, double times)
{
    sum->cpus += times * amount->cpus;
    sum->gpus += times * amount->gpus;
    sum->memory_gb += times * amount->memory_gb;
}
