#include "model/settings.h"

struct ow_tuning ow_tuning_default(void)
{
    return (struct ow_tuning){
        .window_s = 5,
        .hold_life_s = 10,
        .waiting_limit_s = 120,
        .candidates = 3,
        .leader_lease_s = 4,
    };
}
