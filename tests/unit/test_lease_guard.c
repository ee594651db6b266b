/* What a leader may send by its own clock, and what is taken out of its effects when its lease does not cover
 * them. */
#include "check.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"
#include "sharding/effect_guard.h"
#include "sharding/lease_guard.h"

#include <glib.h>

static const double LEASE_S = 4;
enum { OK = 200, REFUSED = 503, NO_LEASE = 404, SILENCE = 0 };

/* A lease renewed at `now`. */
static struct ow_lease_guard guard_at(double now)
{
    struct ow_lease_guard guard;
    ow_lease_guard_init(&guard, LEASE_S);
    ow_lease_guard_note_request(&guard, 1, now);
    ow_lease_guard_note_reply(&guard, 1, OK);
    return guard;
}

static void test_lease_counts_from_when_it_was_asked_for(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_at(10);
    assert_int_equal(ow_lease_guard_state(&guard, 10 + LEASE_S - 0.3), OW_LEASE_HELD);
    assert_int_not_equal(ow_lease_guard_state(&guard, 10 + LEASE_S - 0.05), OW_LEASE_HELD);
    /* The answer to a renewal comes 3 s late: that time of the lease is gone. */
    ow_lease_guard_note_request(&guard, 2, 11);
    ow_lease_guard_note_reply(&guard, 2, OK);
    assert_int_equal(ow_lease_guard_state(&guard, 14.5), OW_LEASE_HELD);
    assert_int_not_equal(ow_lease_guard_state(&guard, 15), OW_LEASE_HELD);
}

static void test_only_the_answer_to_a_renewal_renews(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_at(10);
    ow_lease_guard_note_request(&guard, 2, 12);
    ow_lease_guard_note_reply(&guard, 77, OK);
    ow_lease_guard_note_reply(&guard, 2, SILENCE);
    assert_int_not_equal(ow_lease_guard_state(&guard, 15), OW_LEASE_HELD);
}

/* In an outage workers go on being kept alive, and nothing is started. */
static void test_outage_expires_the_lease_without_a_pause(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_at(10);
    ow_lease_guard_note_request(&guard, 2, 11);
    ow_lease_guard_note_reply(&guard, 2, REFUSED);
    assert_int_equal(ow_lease_guard_state(&guard, 30), OW_LEASE_EXPIRED);
}

/* After a pause nothing leaves until the key-value store has answered a request sent since; an answer that
   has lain in the socket all the while proves nothing. */
static void test_pause_makes_the_lease_unproven_until_renewed(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_at(10);
    ow_lease_guard_note_request(&guard, 2, 11);
    ow_lease_guard_note_pause(&guard, 40);
    assert_int_equal(ow_lease_guard_state(&guard, 40), OW_LEASE_UNPROVEN);
    ow_lease_guard_note_reply(&guard, 2, OK);
    assert_int_equal(ow_lease_guard_state(&guard, 40), OW_LEASE_UNPROVEN);
    ow_lease_guard_note_request(&guard, 3, 40.1);
    assert_int_equal(ow_lease_guard_state(&guard, 40.2), OW_LEASE_UNPROVEN);
    ow_lease_guard_note_reply(&guard, 3, NO_LEASE);
    assert_int_equal(ow_lease_guard_state(&guard, 40.3), OW_LEASE_EXPIRED);
    ow_lease_guard_note_request(&guard, 4, 41);
    ow_lease_guard_note_reply(&guard, 4, OK);
    assert_int_equal(ow_lease_guard_state(&guard, 41.1), OW_LEASE_HELD);
}

/* A pause that the lease outlives changes nothing. */
static void test_short_pause_changes_nothing(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_at(10);
    ow_lease_guard_note_pause(&guard, 11);
    assert_int_equal(ow_lease_guard_state(&guard, 11), OW_LEASE_HELD);
}

static struct ow_effect *new_effect(enum ow_effect_kind kind)
{
    struct ow_effect *effect = g_new0(struct ow_effect, 1);
    effect->kind = kind;
    effect->request = 5;
    if (kind == OW_EFFECT_CLOUD) {
        effect->cloud = g_new0(struct ow_cloud_request, 1);
        effect->cloud->tag = 6;
        return effect;
    }
    effect->commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    static const enum ow_worker_command_kind kinds[] = {OW_WORKER_LAUNCH, OW_WORKER_STOP, OW_WORKER_LAUNCH,
                                                        OW_WORKER_CLEAR};
    for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct ow_worker_command command = {.kind = kinds[i]};
        g_array_append_val(effect->commands, command);
    }
    return effect;
}

static void test_expired_lease_removes_launches_from_commands(void **state)
{
    (void)state;
    static const enum ow_effect_kind kinds[] = {OW_EFFECT_WORKER_COMMANDS, OW_EFFECT_DIRECT_COMMANDS};
    for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct ow_effect *effect = new_effect(kinds[i]);
        struct ow_event *refusal = NULL;
        assert_true(ow_effect_guard_apply(effect, OW_LEASE_EXPIRED, &refusal));
        assert_null(refusal);
        assert_int_equal(effect->kind, kinds[i]);
        assert_int_equal(effect->commands->len, 2);
        assert_int_equal(g_array_index(effect->commands, struct ow_worker_command, 0).kind, OW_WORKER_STOP);
        ow_effect_free(effect);
    }
}

static void test_unproven_lease_lets_no_command_out(void **state)
{
    (void)state;
    struct ow_event *refusal = NULL;
    struct ow_effect *heartbeat_answer = new_effect(OW_EFFECT_WORKER_COMMANDS);
    assert_true(ow_effect_guard_apply(heartbeat_answer, OW_LEASE_UNPROVEN, &refusal));
    assert_int_equal(heartbeat_answer->kind, OW_EFFECT_REFUSE);
    assert_int_equal(heartbeat_answer->status, REFUSED);
    ow_effect_free(heartbeat_answer);
    struct ow_effect *direct = new_effect(OW_EFFECT_DIRECT_COMMANDS);
    assert_true(ow_effect_guard_apply(direct, OW_LEASE_UNPROVEN, &refusal));
    assert_int_equal(refusal->kind, OW_EVENT_DIRECT_REPLY);
    assert_int_equal(refusal->request, 5);
    assert_int_equal(refusal->status, OW_STATUS_UNSENT);
    ow_event_free(refusal);
    ow_effect_free(direct);
}

/* Renting and returning wait for the lease; reading does no harm. */
static void test_without_a_lease_no_machine_is_provisioned_or_terminated(void **state)
{
    (void)state;
    for (int op = OW_CLOUD_TYPES; op <= OW_CLOUD_TERMINATE; op++) {
        struct ow_effect *effect = new_effect(OW_EFFECT_CLOUD);
        struct ow_event *refusal = NULL;
        bool reads = op == OW_CLOUD_TYPES || op == OW_CLOUD_LIST;
        effect->cloud->op = op;
        assert_int_equal(ow_effect_guard_apply(effect, OW_LEASE_EXPIRED, &refusal), !reads);
        assert_int_equal(refusal != NULL, !reads);
        if (refusal != NULL) {
            assert_int_equal(refusal->cloud.status, REFUSED);
            assert_int_equal(refusal->request, 6);
            ow_event_free(refusal);
        }
        ow_effect_free(effect);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lease_counts_from_when_it_was_asked_for),
        cmocka_unit_test(test_only_the_answer_to_a_renewal_renews),
        cmocka_unit_test(test_outage_expires_the_lease_without_a_pause),
        cmocka_unit_test(test_pause_makes_the_lease_unproven_until_renewed),
        cmocka_unit_test(test_short_pause_changes_nothing),
        cmocka_unit_test(test_expired_lease_removes_launches_from_commands),
        cmocka_unit_test(test_unproven_lease_lets_no_command_out),
        cmocka_unit_test(test_without_a_lease_no_machine_is_provisioned_or_terminated),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
