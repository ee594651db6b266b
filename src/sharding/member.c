#include "sharding/member.h"

struct ow_member *ow_member_new(const char *name, double expected_interval_s)
{
    struct ow_member *member = g_new0(struct ow_member, 1);
    member->name = name;
    member->cause = g_strdup("no heartbeat yet");
    member->led_shards = ow_peer_shards_new();
    ow_phi_detector_init(&member->detector, expected_interval_s);
    return member;
}

void ow_member_free(void *item)
{
    struct ow_member *member = item;
    g_free(member->cause);
    g_array_free(member->led_shards, TRUE);
    g_free(member);
}

void ow_member_set_state(struct ow_member *member, enum ow_member_state state, double now, char *cause)
{
    if (member->state != state) {
        g_info("controller state changed: controller=%s state=%s previous_state=%s reason=\"%s\"",
               member->name, ow_member_state_name(state), ow_member_state_name(member->state), cause);
        member->state_since = now;
        if (state == OW_MEMBER_SUSPECTED)
            member->suspicions++;
    }
    member->state = state;
    g_free(member->cause);
    member->cause = cause;
}

bool ow_member_is_live(const struct ow_member *member)
{
    return member->state == OW_MEMBER_ALIVE || member->state == OW_MEMBER_PROBING ||
           member->state == OW_MEMBER_ALIVE_BY_RELAY;
}

const char *ow_member_state_name(enum ow_member_state state)
{
    static const char *const names[] = {
        [OW_MEMBER_UNKNOWN] = "unheard",     [OW_MEMBER_ALIVE] = "alive",
        [OW_MEMBER_PROBING] = "probed",      [OW_MEMBER_ALIVE_BY_RELAY] = "relayed",
        [OW_MEMBER_SUSPECTED] = "suspected",
    };
    return names[state];
}

struct ow_member *ow_members_find(const GPtrArray *members, const char *name)
{
    for (guint i = 0; i < members->len; i++) {
        struct ow_member *member = g_ptr_array_index(members, i);
        if (g_strcmp0(member->name, name) == 0)
            return member;
    }
    return NULL;
}
