/** @file
 * Which container images a machine has or is fetching, as far as the leader knows: a guess that placement
 * uses. Nothing that must be safe rests on it. The list belongs to the machine (struct ow_machine).
 */
#ifndef OW_CORE_MACHINES_MACHINE_IMAGES_H
#define OW_CORE_MACHINES_MACHINE_IMAGES_H

#include <stdbool.h>

struct ow_image_copy;
struct ow_job_spec;
struct ow_leader;
struct ow_machine;

/** The machine's copy of an image, present or being fetched; NULL if there is none. Valid until the next
 * ow_machine_image_note_use(). */
struct ow_image_copy *ow_machine_image_find(const struct ow_machine *machine, int image);
/** Notes that a task uses its job's image there. Copies that the machine's cache has no room for are
 * forgotten, the one that was used last at the end. @param present the image is known to have been fetched */
void ow_machine_image_note_use(struct ow_leader *leader, struct ow_machine *machine,
                               const struct ow_job_spec *spec, bool present);
/** Expected seconds until a task with the job's image could run there; 0 if the image is present. */
double ow_machine_image_fetch_s(const struct ow_leader *leader, const struct ow_machine *machine,
                                const struct ow_job_spec *spec);

#endif
