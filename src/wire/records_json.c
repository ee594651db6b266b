#include "wire/records_json.h"

#include "model/submission.h"
#include "wire/json.h"
#include "wire/submission_json.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Field names of our own records are short: values have a size limit. */
#define F_STATE "e"
#define F_SUBMISSION "s"
#define F_ACCEPTED "t"
#define F_LEADER_FENCING_TOKEN "c"
#define F_LAST "a"
#define F_DONE "d"
#define F_LIVE "l"
#define F_FORMAT "v"
#define F_CONTROLLER "node"
#define F_NONCE "nonce"

char *wire_job_record_encode(const struct ow_job_record *record)
{
    json_t *object = json_object();
    if (record->state == OW_JOB_DONE || record->state == OW_JOB_CANCELLED)
        json_object_set_new(object, F_STATE, json_integer(record->state));
    if (record->submission != NULL)
        json_object_set_new(object, F_SUBMISSION, wire_submission_to_json(record->submission));
    if (record->accepted_at > 0)
        json_object_set_new(object, F_ACCEPTED, json_integer((json_int_t)record->accepted_at));
    if (record->leader_fencing_token > 0)
        json_object_set_new(object, F_LEADER_FENCING_TOKEN,
                            json_integer((json_int_t)record->leader_fencing_token));
    return wire_json_print_and_unref(object);
}

bool wire_job_record_decode(const json_t *value, struct ow_job_record *out)
{
    uint64_t state = OW_JOB_QUEUED;
    memset(out, 0, sizeof *out);
    bool over = wire_json_get_count(value, F_STATE, &state);
    out->state = (enum ow_job_state)state;
    wire_json_get_number(value, F_ACCEPTED, &out->accepted_at);
    wire_json_get_count(value, F_LEADER_FENCING_TOKEN, &out->leader_fencing_token);
    const json_t *submission = json_object_get(value, F_SUBMISSION);
    if (submission != NULL)
        out->submission = wire_submission_from_json(submission, NULL);
    return over ? state == OW_JOB_DONE || state == OW_JOB_CANCELLED : out->submission != NULL;
}

/* Appends "from", or "from-to", and a comma if it is not the first. */
static void append_range(GString *text, uint32_t from, uint32_t to)
{
    if (text->len > 0)
        g_string_append_c(text, ',');
    g_string_append_printf(text, "%u", from);
    if (to > from)
        g_string_append_printf(text, "-%u", to);
}

static char *done_text(const GArray *done)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < done->len;) {
        uint32_t from = g_array_index(done, uint32_t, i), to = from;
        for (i++; i < done->len && g_array_index(done, uint32_t, i) == to + 1; i++)
            to++;
        append_range(text, from, to);
    }
    return g_string_free(text, FALSE);
}

static bool same_place(const struct ow_live_record *a, const struct ow_live_record *b)
{
    return a->incarnation == b->incarnation && strcmp(a->machine, b->machine) == 0;
}

/* The live attempts of one machine and incarnation: "from-to@attempt,...". */
static char *place_text(const GArray *live, guint *i)
{
    GString *text = g_string_new(NULL);
    const struct ow_live_record *head = &g_array_index(live, struct ow_live_record, *i);
    while (*i < live->len) {
        const struct ow_live_record *first = &g_array_index(live, struct ow_live_record, *i);
        if (!same_place(first, head))
            break;
        uint32_t to = first->task;
        for (++*i; *i < live->len; ++*i) {
            const struct ow_live_record *next = &g_array_index(live, struct ow_live_record, *i);
            if (!same_place(next, head) || next->task != to + 1 || next->attempt != first->attempt)
                break;
            to++;
        }
        append_range(text, first->task, to);
        g_string_append_printf(text, "@%" PRIu64, first->attempt);
    }
    return g_string_free(text, FALSE);
}

char *wire_progress_record_encode(const struct ow_progress_record *record)
{
    json_t *live = json_object();
    for (guint i = 0; i < record->live->len;) {
        const struct ow_live_record *head = &g_array_index(record->live, struct ow_live_record, i);
        char *place = g_strdup_printf("%s %" PRIu64, head->machine, head->incarnation);
        char *tasks = place_text(record->live, &i);
        const char *before = json_string_value(json_object_get(live, place));
        char *all = before != NULL ? g_strdup_printf("%s,%s", before, tasks) : g_strdup(tasks);
        json_object_set_new(live, place, json_string(all));
        g_free(all);
        g_free(tasks);
        g_free(place);
    }
    char *done = done_text(record->done);
    json_t *object =
        json_pack("{s:I,s:s,s:o}", F_LAST, (json_int_t)record->last_attempt, F_DONE, done, F_LIVE, live);
    g_free(done);
    return wire_json_print_and_unref(object);
}

static bool parse_range(const char **text, uint32_t *from, uint32_t *to)
{
    char *end = NULL;
    unsigned long a = strtoul(*text, &end, 10), b = a;
    if (end == *text)
        return false;
    if (*end == '-')
        b = strtoul(end + 1, &end, 10);
    if (b < a || b >= OW_MAX_TASKS)
        return false;
    *from = (uint32_t)a;
    *to = (uint32_t)b;
    *text = end;
    return true;
}

static bool parse_done(const char *text, GArray *done)
{
    while (*text != '\0') {
        uint32_t from = 0, to = 0;
        if (!parse_range(&text, &from, &to))
            return false;
        for (uint32_t task = from; task <= to; task++)
            g_array_append_val(done, task);
        if (*text == ',')
            text++;
    }
    return true;
}

static bool parse_place(const char *machine, uint64_t incarnation, const char *text, GArray *live)
{
    while (*text != '\0') {
        uint32_t from = 0, to = 0;
        char *end = NULL;
        if (!parse_range(&text, &from, &to) || *text != '@')
            return false;
        uint64_t attempt = strtoull(text + 1, &end, 10);
        for (uint32_t task = from; task <= to; task++) {
            struct ow_live_record entry = {task, attempt, machine, incarnation};
            g_array_append_val(live, entry);
        }
        text = *end == ',' ? end + 1 : end;
    }
    return true;
}

bool wire_progress_record_decode(const json_t *value, struct ow_progress_record *out)
{
    const char *done = "";
    out->last_attempt = 0;
    out->done = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    out->live = g_array_new(FALSE, FALSE, sizeof(struct ow_live_record));
    out->machine_names = g_ptr_array_new_with_free_func(g_free);
    wire_json_get_string(value, F_DONE, &done);
    bool ok = wire_json_get_count(value, F_LAST, &out->last_attempt) && parse_done(done, out->done);
    const char *place;
    json_t *tasks;
    json_object_foreach(json_object_get(value, F_LIVE), place, tasks)
    {
        const char *space = strchr(place, ' ');
        if (space == NULL || !json_is_string(tasks)) {
            ok = false;
            continue;
        }
        /* The key holds the incarnation behind the name. */
        char *machine = g_strndup(place, (gsize)(space - place));
        g_ptr_array_add(out->machine_names, machine);
        ok = parse_place(machine, strtoull(space + 1, NULL, 10), json_string_value(tasks), out->live) && ok;
    }
    return ok;
}

void wire_progress_record_clear(struct ow_progress_record *record)
{
    g_array_free(record->done, TRUE);
    g_array_free(record->live, TRUE);
    if (record->machine_names != NULL)
        g_ptr_array_free(record->machine_names, TRUE);
}

void wire_progress_value_add(GString *text, const char *job, uint32_t chunk, uint32_t tasks,
                             const char *record)
{
    /* Ids of jobs need no escaping: they are checked on submission. */
    g_string_append_printf(text, "%c\"%s/%u", text->len == 0 ? '{' : ',', job, chunk);
    if (tasks != OW_CHUNK_MAX_TASKS)
        g_string_append_printf(text, ".%u", tasks);
    g_string_append_printf(text, "\":%s", record);
}

void wire_progress_value_end(GString *text)
{
    g_string_append(text, text->len == 0 ? "{}" : "}");
}

char *wire_progress_name_decode(const char *name, uint32_t *chunk, uint32_t *tasks)
{
    const char *slash = strrchr(name, '/');
    guint64 index = 0, size = OW_CHUNK_MAX_TASKS;
    if (slash == NULL)
        return NULL;
    char **parts = g_strsplit(slash + 1, ".", 2);
    bool ok = parts[0] != NULL && g_ascii_string_to_unsigned(parts[0], 10, 0, OW_MAX_TASKS, &index, NULL) &&
              (parts[1] == NULL || g_ascii_string_to_unsigned(parts[1], 10, 1, OW_MAX_TASKS, &size, NULL));
    g_strfreev(parts);
    *chunk = (uint32_t)index;
    *tasks = (uint32_t)size;
    return ok ? g_strndup(name, (gsize)(slash - name)) : NULL;
}

char *wire_format_record_encode(unsigned format)
{
    return wire_json_print_and_unref(json_pack("{s:I}", F_FORMAT, (json_int_t)format));
}

unsigned wire_format_record_decode(const json_t *value)
{
    uint64_t format = OW_FORMAT_FIRST;
    wire_json_get_count(value, F_FORMAT, &format);
    return (unsigned)format;
}

char *wire_leader_record_encode(const char *controller, const char *nonce)
{
    return wire_json_print_and_unref(json_pack("{s:s,s:s}", F_CONTROLLER, controller, F_NONCE, nonce));
}

void wire_leader_record_decode(const json_t *value, const char **controller, const char **nonce)
{
    *controller = *nonce = NULL;
    wire_json_get_string(value, F_CONTROLLER, controller);
    wire_json_get_string(value, F_NONCE, nonce);
}
