/** @file
 * Amounts of CPUs, GPUs and memory. Plain data.
 */
#ifndef OW_MODEL_RESOURCES_H
#define OW_MODEL_RESOURCES_H

/** Resources that a task needs, a machine has, or a team uses. Amounts may be fractional, and negative in a
 * difference. */
struct ow_resources {
    double cpus;
    double gpus;
    double memory_gb;
};

/** Adds a multiple of an amount to a sum. @param times the factor; negative to subtract */
void ow_resources_add(struct ow_resources *sum, const struct ow_resources *amount, double times);

#endif
