/* Guards against violations of the safety rules, and against jobs that never complete, when failures
 * overlap in combinations that no other test covers. The failures are random, from fixed seeds. */
#include "chaos_scenario.h"
#include "check.h"

static void test_safety_rules_hold_through_random_failures(void **state)
{
    (void)state;
    for (guint32 seed = 1; seed <= 30; seed++)
        chaos_scenario_run(seed, false, NULL);
}

/* As above, with the fleet divided into two shards and with controllers whose processes freeze. */
static void test_safety_rules_hold_through_random_failures_with_shards(void **state)
{
    (void)state;
    for (guint32 seed = 1; seed <= 30; seed++)
        chaos_scenario_run(seed, true, NULL);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_safety_rules_hold_through_random_failures),
        cmocka_unit_test(test_safety_rules_hold_through_random_failures_with_shards)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
