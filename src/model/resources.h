/** @file
 * Amounts of CPUs, GPUs and memory. Plain data.
 */
#ifndef OW_MODEL_RESOURCES_H
#define OW_MODEL_RESOURCES_H

/** What a task needs, a machine has, or a team uses. Fractions are allowed; in a difference, negative
 * amounts. */
struct ow_resources {
    double cpus;
    double gpus;
    double memory_gb;
};

/** Adds an amount to a sum. @param times how often the amount is added; negative: it is taken away */
void ow_resources_add(struct ow_resources *sum, const struct ow_resources *amount, double times);

#endif
