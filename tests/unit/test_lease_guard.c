/* Whether a leader holds its lease by its own clock, and which effects are removed when it does not. */
#include "check.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"
#include "sharding/effect_guard.h"
#include "sharding/lease_guard.h"

#include <glib.h>

static const double LEASE_S = 4;
enum { STATUS_OK = 200, STATUS_UNAVAILABLE = 503, STATUS_NOT_FOUND = 404, STATUS_NO_RESPONSE = 0 };

/* The guard of a lease that was obtained by a request sent at `now`. */
static struct ow_lease_guard guard_renewed_at(double now)
{
    struct ow_lease_guard guard;
    ow_lease_guard_init(&guard, LEASE_S);
    ow_lease_guard_note_request(&guard, 1, now);
    ow_lease_guard_note_reply(&guard, 1, STATUS_OK);
    return guard;
}

static void test_lease_counts_from_request_send_time(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_renewed_at(10);
    assert_int_equal(ow_lease_guard_state(&guard, 10 + LEASE_S - 0.3), OW_LEASE_HELD);
    assert_int_not_equal(ow_lease_guard_state(&guard, 10 + LEASE_S - 0.05), OW_LEASE_HELD);
    /* A reply that arrives 3 s late does not extend the lease: it counts from the renewal sent at 11 s. */
    ow_lease_guard_note_request(&guard, 2, 11);
    ow_lease_guard_note_reply(&guard, 2, STATUS_OK);
    assert_int_equal(ow_lease_guard_state(&guard, 14.5), OW_LEASE_HELD);
    assert_int_not_equal(ow_lease_guard_state(&guard, 15), OW_LEASE_HELD);
}

static void test_only_a_reply_to_the_renewal_renews_the_lease(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_renewed_at(10);
    ow_lease_guard_note_request(&guard, 2, 12);
    ow_lease_guard_note_reply(&guard, 77, STATUS_OK);
    ow_lease_guard_note_reply(&guard, 2, STATUS_NO_RESPONSE);
    assert_int_not_equal(ow_lease_guard_state(&guard, 15), OW_LEASE_HELD);
}

/* In an outage of the store the lease expires but is not unproven: replies still keep workers' leases alive,
 * and no task is launched. */
static void test_store_outage_without_a_pause_expires_the_lease(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_renewed_at(10);
    ow_lease_guard_note_request(&guard, 2, 11);
    ow_lease_guard_note_reply(&guard, 2, STATUS_UNAVAILABLE);
    assert_int_equal(ow_lease_guard_state(&guard, 30), OW_LEASE_EXPIRED);
}

/* After a pause nothing may leave until the key-value store has answered a request sent since. A reply that
 * was waiting in the socket during the pause does not prove the lease. */
static void test_long_pause_makes_the_lease_unproven_until_answered(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_renewed_at(10);
    ow_lease_guard_note_request(&guard, 2, 11);
    ow_lease_guard_note_pause(&guard, 40);
    assert_int_equal(ow_lease_guard_state(&guard, 40), OW_LEASE_UNPROVEN);
    ow_lease_guard_note_reply(&guard, 2, STATUS_OK);
    assert_int_equal(ow_lease_guard_state(&guard, 40), OW_LEASE_UNPROVEN);
    ow_lease_guard_note_request(&guard, 3, 40.1);
    assert_int_equal(ow_lease_guard_state(&guard, 40.2), OW_LEASE_UNPROVEN);
    ow_lease_guard_note_reply(&guard, 3, STATUS_UNAVAILABLE);
    assert_int_equal(ow_lease_guard_state(&guard, 40.3), OW_LEASE_EXPIRED);
    ow_lease_guard_note_request(&guard, 4, 41);
    ow_lease_guard_note_reply(&guard, 4, STATUS_OK);
    assert_int_equal(ow_lease_guard_state(&guard, 41.1), OW_LEASE_HELD);
}

/* A pause that ends before the lease expires leaves it held. */
/* Guards against answers under the old token in the step that learns of the loss. */
static void test_lease_that_the_store_no_longer_has_is_unproven(void **state)
{
    struct ow_lease_guard guard;
    (void)state;
    ow_lease_guard_init(&guard, LEASE_S);
    ow_lease_guard_note_request(&guard, 1, 10);
    ow_lease_guard_note_reply(&guard, 1, STATUS_OK);
    ow_lease_guard_note_pause(&guard, 40);
    ow_lease_guard_note_request(&guard, 2, 40);
    ow_lease_guard_note_reply(&guard, 2, STATUS_NOT_FOUND);
    assert_int_equal(ow_lease_guard_state(&guard, 40.1), OW_LEASE_UNPROVEN);
    ow_lease_guard_note_request(&guard, 3, 41);
    ow_lease_guard_note_reply(&guard, 3, STATUS_OK);
    assert_int_equal(ow_lease_guard_state(&guard, 41.1), OW_LEASE_HELD);
}

static void test_short_pause_keeps_the_lease_held(void **state)
{
    (void)state;
    struct ow_lease_guard guard = guard_renewed_at(10);
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
        struct ow_event *reply = NULL;
        assert_true(ow_effect_guard_apply(effect, OW_LEASE_EXPIRED, &reply));
        assert_null(reply);
        assert_int_equal(effect->kind, kinds[i]);
        assert_int_equal(effect->commands->len, 2);
        assert_int_equal(g_array_index(effect->commands, struct ow_worker_command, 0).kind, OW_WORKER_STOP);
        ow_effect_free(effect);
    }
}

static void test_unproven_lease_blocks_all_commands(void **state)
{
    (void)state;
    struct ow_event *reply = NULL;
    struct ow_effect *worker_reply = new_effect(OW_EFFECT_WORKER_COMMANDS);
    assert_true(ow_effect_guard_apply(worker_reply, OW_LEASE_UNPROVEN, &reply));
    assert_int_equal(worker_reply->kind, OW_EFFECT_REFUSE);
    assert_int_equal(worker_reply->status, STATUS_UNAVAILABLE);
    ow_effect_free(worker_reply);
    struct ow_effect *direct_commands = new_effect(OW_EFFECT_DIRECT_COMMANDS);
    assert_true(ow_effect_guard_apply(direct_commands, OW_LEASE_UNPROVEN, &reply));
    assert_int_equal(reply->kind, OW_EVENT_DIRECT_REPLY);
    assert_int_equal(reply->request, 5);
    assert_int_equal(reply->status, OW_STATUS_UNSENT);
    ow_event_free(reply);
    ow_effect_free(direct_commands);
}

/* Provisioning and terminating machines need a valid lease; read requests to the cloud do not. */
static void test_expired_lease_blocks_provisioning_and_termination(void **state)
{
    (void)state;
    for (int op = OW_CLOUD_TYPES; op <= OW_CLOUD_TERMINATE; op++) {
        struct ow_effect *effect = new_effect(OW_EFFECT_CLOUD);
        struct ow_event *reply = NULL;
        bool is_read = op == OW_CLOUD_TYPES || op == OW_CLOUD_LIST;
        effect->cloud->op = op;
        assert_int_equal(ow_effect_guard_apply(effect, OW_LEASE_EXPIRED, &reply), !is_read);
        assert_int_equal(reply != NULL, !is_read);
        if (reply != NULL) {
            assert_int_equal(reply->cloud.status, STATUS_UNAVAILABLE);
            assert_int_equal(reply->request, 6);
            ow_event_free(reply);
        }
        ow_effect_free(effect);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lease_counts_from_request_send_time),
        cmocka_unit_test(test_only_a_reply_to_the_renewal_renews_the_lease),
        cmocka_unit_test(test_store_outage_without_a_pause_expires_the_lease),
        cmocka_unit_test(test_long_pause_makes_the_lease_unproven_until_answered),
        cmocka_unit_test(test_lease_that_the_store_no_longer_has_is_unproven),
        cmocka_unit_test(test_short_pause_keeps_the_lease_held),
        cmocka_unit_test(test_expired_lease_removes_launches_from_commands),
        cmocka_unit_test(test_unproven_lease_blocks_all_commands),
        cmocka_unit_test(test_expired_lease_blocks_provisioning_and_termination),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
