/** @file
 * An estimate of which container images a machine has or is fetching, for placement decisions. No safety rule
 * depends on it. The list belongs to the machine (struct ow_machine).
 */
#ifndef OW_CORE_MACHINES_MACHINE_IMAGES_H
#define OW_CORE_MACHINES_MACHINE_IMAGES_H

#include <stdbool.h>

struct ow_image_copy;
struct ow_job_spec;
struct ow_leader;
struct ow_machine;

/** Returns the machine's copy of an image, present or being fetched; NULL if there is none. Valid until the
 * next ow_machine_image_note_use(). */
struct ow_image_copy *ow_machine_image_find(const struct ow_machine *machine, int image);
/** Notes that a task on the machine uses its job's image. Evicts unused copies that exceed the machine's
 * cache, the least recently used first. @param present the image is known to have been fetched */
void ow_machine_image_note_use(struct ow_leader *leader, struct ow_machine *machine,
                               const struct ow_job_spec *spec, bool present);
/** Returns the expected seconds until the job's image is present on the machine; 0 if it is. */
double ow_machine_image_fetch_s(const struct ow_leader *leader, const struct ow_machine *machine,
                                const struct ow_job_spec *spec);

#endif
