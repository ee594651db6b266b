/* Random overlapping failures from fixed seeds: no safety rule may break, and in the end every job completes.
 */
#include "chaos_scenario.h"
#include "check.h"

static void test_safety_rules_hold_through_random_failures(void **state)
{
    (void)state;
    for (guint32 seed = 1; seed <= 30; seed++)
        chaos_scenario_run(seed, false, NULL);
}

/* The same with two shards, and with controllers that stand still. */
static void test_safety_rules_hold_through_random_failures_of_shards(void **state)
{
    (void)state;
    for (guint32 seed = 1; seed <= 30; seed++)
        chaos_scenario_run(seed, true, NULL);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_safety_rules_hold_through_random_failures),
        cmocka_unit_test(test_safety_rules_hold_through_random_failures_of_shards)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
