#include "client/print.h"

#include "wire/json.h"
#include "wire/words.h"

#include <glib.h>
#include <stdio.h>

/* The string in a field, owned by the object, or `default_text` if there is none. */
static const char *text_of(const json_t *object, const char *field, const char *default_text)
{
    const char *text = default_text;
    wire_json_get_string(object, field, &text);
    return text;
}

static double number_of(const json_t *object, const char *field)
{
    double number = 0;
    wire_json_get_number(object, field, &number);
    return number;
}

static uint64_t count_of(const json_t *object, const char *field)
{
    uint64_t count = 0;
    wire_json_get_count(object, field, &count);
    return count;
}

void ow_print_job(const json_t *answer)
{
    uint64_t done = 0;
    uint64_t running = 0;
    const char *reason = NULL;
    printf("%s: %s", text_of(answer, W_ID, ""), text_of(answer, W_STATE, ""));
    if (wire_json_get_count(answer, W_DONE_COUNT, &done))
        printf(", %" G_GUINT64_FORMAT " tasks done", done);
    if (wire_json_get_count(answer, W_RUNNING_COUNT, &running))
        printf(", %" G_GUINT64_FORMAT " running", running);
    if (wire_json_get_string(answer, W_REASON, &reason))
        printf("\nwaits: %s", reason);
    printf("\n");
}

static void print_amounts(const json_t *team, const char *field)
{
    const json_t *amounts = json_object_get(team, field);
    printf(", %s: %g CPUs, %g GPUs, %g GB", field, number_of(amounts, W_CPUS), number_of(amounts, W_GPUS),
           number_of(amounts, W_MEMORY_GB));
}

static void print_team(const json_t *team)
{
    printf("%s: %" G_GUINT64_FORMAT " jobs, %" G_GUINT64_FORMAT " with waiting tasks",
           text_of(team, W_TEAM, ""), count_of(team, "jobs"), count_of(team, "waiting_jobs"));
    print_amounts(team, "running");
    print_amounts(team, "waiting");
    printf("\n");
}

/* Prints each item of the array in the field. */
static void print_items(const json_t *answer, const char *field, void (*print_item)(const json_t *item))
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(answer, field), i, item) print_item(item);
}

void ow_print_teams(const json_t *answer)
{
    print_items(answer, "teams", print_team);
}

static void print_controller(const json_t *controller)
{
    printf("%s: %s for %.1f s, phi %.1f: %s; leads", text_of(controller, "name", ""),
           text_of(controller, "state", ""), number_of(controller, "since_s"), number_of(controller, "phi"),
           text_of(controller, "cause", ""));
    g_auto(GStrv) shards = wire_json_copy_strings(json_object_get(controller, "leads"));
    bool leads_nothing = shards == NULL || *shards == NULL;
    for (char **shard = shards; shard != NULL && *shard != NULL; shard++)
        printf(" %s", *shard);
    printf("%s\n", leads_nothing ? " nothing" : "");
}

void ow_print_controllers(const json_t *answer)
{
    printf("settings: %s\n", text_of(answer, "agreement", ""));
    print_items(answer, "controllers", print_controller);
}

/* Prints one step of a shard's failover. */
static void print_step(const json_t *step)
{
    printf("    %.1f s ago: %s: %s\n", number_of(step, "since_s"), text_of(step, "state", ""),
           text_of(step, "cause", ""));
}

static void print_shard(const json_t *shard)
{
    printf("%s: %s, led by %s, next would be %s", text_of(shard, "name", ""), text_of(shard, "state", ""),
           text_of(shard, "leader", "nobody"), text_of(shard, "successor", ""));
    uint64_t fencing_token = count_of(shard, "token");
    if (fencing_token > 0)
        printf("; token %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
               " machines fenced",
               fencing_token, count_of(shard, "fenced"), count_of(shard, "machines"));
    printf("\n");
    print_items(shard, "steps", print_step);
}

void ow_print_shards(const json_t *answer)
{
    print_items(answer, "shards", print_shard);
}
