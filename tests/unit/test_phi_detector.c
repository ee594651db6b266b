/* The phi accrual failure detector: phi of a silence, given the intervals between earlier heartbeats. */
#include "check.h"
#include "sharding/membership.h"

static const double HEARTBEAT_S = 0.5;

static void test_phi_grows_with_silence_relative_to_earlier_intervals(void **state)
{
    (void)state;
    struct ow_phi_detector regular;
    struct ow_phi_detector irregular;
    double now = 0;
    ow_phi_detector_init(&regular, HEARTBEAT_S);
    ow_phi_detector_init(&irregular, HEARTBEAT_S);
    assert_true(ow_phi_detector_phi(&regular, 1000) == 0);
    for (int i = 0; i < 150; i++) {
        now = i * 2.0;
        ow_phi_detector_add_heartbeat(&regular, now);
        ow_phi_detector_add_heartbeat(&irregular, now + (i % 2 == 0 ? 0.9 : 0));
    }
    assert_true(ow_phi_detector_phi(&regular, now + 1) < 1);
    assert_true(ow_phi_detector_phi(&regular, now + 3) < ow_phi_detector_phi(&regular, now + 4));
    assert_true(ow_phi_detector_phi(&regular, now + 10) > 8);
    /* The same silence gives a lower phi if the heartbeats came at irregular intervals. */
    assert_true(ow_phi_detector_phi(&irregular, now + 5) < ow_phi_detector_phi(&regular, now + 5));
    assert_true(ow_phi_detector_phi(&regular, now + 1e6) > 200);
    assert_int_equal(regular.count, OW_PHI_HISTORY);
}

/* The long interval of one failure must not delay the detection of the next. In a loopback run a controller
 * that had failed before was suspected after 6 s instead of 1.5 s. */
static void test_failure_is_detected_after_an_earlier_one(void **state)
{
    (void)state;
    struct ow_phi_detector detector;
    double now = 0;
    ow_phi_detector_init(&detector, HEARTBEAT_S);
    for (int i = 0; i < 20; i++)
        ow_phi_detector_add_heartbeat(&detector, now += HEARTBEAT_S);
    double phi_before_failure = ow_phi_detector_phi(&detector, now + 2.5);
    assert_true(phi_before_failure > 8);
    ow_phi_detector_add_heartbeat(&detector, now += 60);
    for (int i = 0; i < 3; i++)
        ow_phi_detector_add_heartbeat(&detector, now += HEARTBEAT_S);
    assert_true(ow_phi_detector_phi(&detector, now + 2.5) > 8);
}

/* The detector adapts to heartbeats that come at longer intervals. */
static void test_phi_adapts_to_longer_intervals(void **state)
{
    (void)state;
    struct ow_phi_detector detector;
    double now = 0;
    ow_phi_detector_init(&detector, HEARTBEAT_S);
    for (int i = 0; i < OW_PHI_HISTORY; i++)
        ow_phi_detector_add_heartbeat(&detector, now += HEARTBEAT_S);
    for (int i = 0; i < 2 * OW_PHI_HISTORY; i++)
        ow_phi_detector_add_heartbeat(&detector, now += 8);
    assert_true(ow_phi_detector_phi(&detector, now + 9) < 2);
    assert_true(ow_phi_detector_phi(&detector, now + 30) > 8);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_phi_grows_with_silence_relative_to_earlier_intervals),
        cmocka_unit_test(test_failure_is_detected_after_an_earlier_one),
        cmocka_unit_test(test_phi_adapts_to_longer_intervals),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
