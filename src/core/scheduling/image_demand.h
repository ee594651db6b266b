/** @file
 * Container images: how long fetching one takes, and how much work waits for each.
 *
 * Input: waiting executions, and the images that machines have or fetch. Result: the demand for each image,
 * as of the beginning of the cycle. Invariant: gangs don't count, because they start wherever there is
 * capacity for all members.
 */
#ifndef OW_CORE_SCHEDULING_IMAGE_DEMAND_H
#define OW_CORE_SCHEDULING_IMAGE_DEMAND_H

#include <glib.h>

struct ow_job_spec;
struct ow_leader;

/** The work that waits for an image and the slots where it is available, computed once a cycle. */
struct ow_image_demand {
    const struct ow_job_spec *spec; /**< one of the jobs that wait for it, not owned; NULL if there is none */
    double work_s;                  /**< pending tasks times run time, in seconds */
    double slots;                   /**< on usable machines that have the image or fetch it, free or not */
};

/** An empty array of struct ow_image_demand, by image index; owned by the leader, freed with
 * g_array_free(). */
GArray *ow_image_demand_new_table(void);
/** Begins a cycle: computes the demand for each image. */
void ow_image_demand_update(struct ow_leader *leader);
/** The demand for the image as of the beginning of the cycle; all zero if no work waits for it. Valid until
 * the next call. */
const struct ow_image_demand *ow_image_demand_of(struct ow_leader *leader, int image);
/** Seconds that a fetch of the job's image takes on the slowest machine type that fits the job; 0 if none
 * is known. */
double ow_image_slowest_fetch_s(const struct ow_leader *leader, const struct ow_job_spec *spec);

#endif
