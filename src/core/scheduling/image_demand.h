/* Container images: how long fetching one takes. */
#ifndef OW_CORE_SCHEDULING_IMAGE_DEMAND_H
#define OW_CORE_SCHEDULING_IMAGE_DEMAND_H

#include "core/run.h"

/* Seconds that the slowest machine type which fits the job takes to fetch its image. */
double ow_image_slowest_fetch_seconds(const struct ow_leader *leader, const struct ow_spec *spec);

#endif
