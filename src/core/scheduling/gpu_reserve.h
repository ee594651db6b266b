/** @file
 * GPU reserve (ours): GPU machines that are kept for jobs which need GPUs.
 *
 * Input: the open jobs and what their executions still need. Result: `gpu_rank` and `gpu_cpus` of the cycle,
 * and `gpus_kept` of each machine, all of which the module owns. Invariant: these are set once a cycle,
 * before anything is placed.
 */
#ifndef OW_CORE_SCHEDULING_GPU_RESERVE_H
#define OW_CORE_SCHEDULING_GPU_RESERVE_H

struct ow_leader;

/** Finds out which open jobs need GPUs: the most urgent rank among them, and the CPUs that a GPU of theirs
 * needs. */
void ow_gpu_reserve_observe_jobs(struct ow_leader *leader);
/** Marks the machines whose GPUs are kept for GPU jobs in this scheduling cycle (`gpus_kept`). */
void ow_gpu_reserve_mark_machines(struct ow_leader *leader);

#endif
