/* GPU machines that are kept for jobs which need GPUs. */
#ifndef OW_CORE_SCHEDULING_GPU_RESERVE_H
#define OW_CORE_SCHEDULING_GPU_RESERVE_H

struct ow_leader;

/* Marks the machines whose GPUs are kept for GPU jobs in this scheduling cycle (`gpus_kept`). */
void ow_gpu_reserve_update(struct ow_leader *leader);

#endif
