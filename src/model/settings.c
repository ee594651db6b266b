#include "model/settings.h"

/* Default values; model/settings.h documents their meanings and ranges. */
static const double DEFAULT_WINDOW_S = 5;
static const double DEFAULT_HOLD_LIFE_S = 10;
static const double DEFAULT_WAITING_LIMIT_S = 120;
static const double DEFAULT_LEADER_LEASE_S = 4;
enum { DEFAULT_CANDIDATES = 3 };

struct ow_tuning ow_tuning_default(void)
{
    return (struct ow_tuning){
        .window_s = DEFAULT_WINDOW_S,
        .hold_life_s = DEFAULT_HOLD_LIFE_S,
        .waiting_limit_s = DEFAULT_WAITING_LIMIT_S,
        .candidates = DEFAULT_CANDIDATES,
        .leader_lease_s = DEFAULT_LEADER_LEASE_S,
    };
}
