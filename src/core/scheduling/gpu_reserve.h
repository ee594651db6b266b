/** @file
 * GPU reserve: GPU machines that are kept for jobs which need GPUs.
 *
 * Input: the open jobs and what their executions still need. Result: `gpu_rank` and `gpu_cpus` of the
 * cycle, and `are_gpus_reserved` of each machine, all of which the module owns. Invariant: these are set once
 * a cycle, before anything is placed.
 */
#ifndef OW_CORE_SCHEDULING_GPU_RESERVE_H
#define OW_CORE_SCHEDULING_GPU_RESERVE_H

struct ow_leader;

/** Determines the most urgent rank among open jobs that need GPUs (OW_RANK_LOW if there are none), and the
 * most CPUs that any of them needs for a GPU. */
void ow_gpu_reserve_observe_jobs(struct ow_leader *leader);
/** Marks the machines whose GPUs are kept for GPU jobs in this scheduling cycle (`are_gpus_reserved`). */
void ow_gpu_reserve_mark_machines(struct ow_leader *leader);

#endif
