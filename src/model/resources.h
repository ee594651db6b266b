/* Amounts of CPUs, GPUs and memory. */
#ifndef OW_MODEL_RESOURCES_H
#define OW_MODEL_RESOURCES_H

struct ow_resources {
    double cpus, gpus, memory_gb;
};

/* Adds `times` as much as `need`; a negative number takes away. */
void ow_resources_add(struct ow_resources *sum, const struct ow_resources *need, double times);

#endif
