#include "wire/progress_json.h"

#include "wire/json.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Field names are short, because the size of values is limited. */
#define F_LAST_ATTEMPT "a"
#define F_DONE "d" /* "from-to,task,..." */
#define F_LIVE "l" /* "<machine> <incarnation>" -> "from-to@attempt,..." */

/* ---- writing a record ---- */

/* Appends "from" or "from-to", preceded by a comma unless it is the first range. */
static void append_range(GString *text, uint32_t from, uint32_t to)
{
    if (text->len > 0)
        g_string_append_c(text, ',');
    g_string_append_printf(text, "%u", from);
    if (to > from)
        g_string_append_printf(text, "-%u", to);
}

static char *done_to_text(const GArray *done)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < done->len;) {
        uint32_t from = g_array_index(done, uint32_t, i);
        uint32_t to = from;
        for (i++; i < done->len && g_array_index(done, uint32_t, i) == to + 1; i++)
            to++;
        append_range(text, from, to);
    }
    return g_string_free(text, FALSE);
}

static bool is_same_incarnation(const struct ow_attempt_record *a, const struct ow_attempt_record *b)
{
    return a->incarnation == b->incarnation && strcmp(a->machine, b->machine) == 0;
}

/* Returns how many entries from `begin` on form one range: consecutive tasks with the same attempt number on
   the same incarnation of a machine. */
static guint range_length(const GArray *live, guint begin)
{
    const struct ow_attempt_record *first = &g_array_index(live, struct ow_attempt_record, begin);
    guint length = 1;
    for (; begin + length < live->len; length++) {
        const struct ow_attempt_record *next = &g_array_index(live, struct ow_attempt_record, begin + length);
        if (!is_same_incarnation(next, first) || next->task != first->task + length ||
            next->attempt != first->attempt)
            break;
    }
    return length;
}

/* Encodes the entries from *i on that are on the same incarnation of a machine, and advances *i past them. */
static char *attempts_to_text(const GArray *live, guint *i)
{
    GString *text = g_string_new(NULL);
    const struct ow_attempt_record *first_of_group = &g_array_index(live, struct ow_attempt_record, *i);
    while (*i < live->len) {
        const struct ow_attempt_record *first = &g_array_index(live, struct ow_attempt_record, *i);
        if (!is_same_incarnation(first, first_of_group))
            break;
        guint length = range_length(live, *i);
        append_range(text, first->task, first->task + length - 1);
        g_string_append_printf(text, "@%" PRIu64, first->attempt);
        *i += length;
    }
    return g_string_free(text, FALSE);
}

static json_t *live_to_json(const GArray *live)
{
    json_t *object = json_object();
    for (guint i = 0; i < live->len;) {
        const struct ow_attempt_record *first_of_group = &g_array_index(live, struct ow_attempt_record, i);
        g_autofree char *key =
            g_strdup_printf("%s %" PRIu64, first_of_group->machine, first_of_group->incarnation);
        g_autofree char *attempts = attempts_to_text(live, &i);
        /* Entries of one incarnation need not be adjacent: later ones are appended to the existing text. */
        const char *existing = json_string_value(json_object_get(object, key));
        g_autofree char *joined = existing != NULL ? g_strconcat(existing, ",", attempts, NULL) : NULL;
        json_object_set_new(object, key, json_string(joined != NULL ? joined : attempts));
    }
    return object;
}

char *wire_progress_record_encode(const struct ow_progress_record *record)
{
    g_autofree char *done = done_to_text(record->done);
    return wire_json_print_and_unref(json_pack("{s:I,s:s,s:o}", F_LAST_ATTEMPT,
                                               (json_int_t)record->last_attempt, F_DONE, done, F_LIVE,
                                               live_to_json(record->attempts)));
}

/* ---- reading a record ---- */

/* Parses "from" or "from-to", and advances *text past it. */
static bool read_range(const char **text, uint32_t *from, uint32_t *to)
{
    char *end = NULL;
    unsigned long first = strtoul(*text, &end, 10);
    unsigned long last = first;
    if (end == *text)
        return false;
    if (*end == '-')
        last = strtoul(end + 1, &end, 10);
    if (last < first || last >= OW_MAX_TASKS)
        return false;
    *from = (uint32_t)first;
    *to = (uint32_t)last;
    *text = end;
    return true;
}

static bool read_done(const char *text, GArray *done)
{
    while (*text != '\0') {
        uint32_t from = 0;
        uint32_t to = 0;
        if (!read_range(&text, &from, &to))
            return false;
        for (uint32_t task = from; task <= to; task++)
            g_array_append_val(done, task);
        if (*text == ',')
            text++;
    }
    return true;
}

/* Parses the attempts on one incarnation of a machine. The entries borrow `machine`. */
static bool read_attempts(const char *machine, uint64_t incarnation, const char *text, GArray *live)
{
    while (*text != '\0') {
        uint32_t from = 0;
        uint32_t to = 0;
        char *end = NULL;
        if (!read_range(&text, &from, &to) || *text != '@')
            return false;
        uint64_t attempt = strtoull(text + 1, &end, 10);
        for (uint32_t task = from; task <= to; task++) {
            struct ow_attempt_record entry = {
                .task = task,
                .attempt = attempt,
                .machine = machine,
                .incarnation = incarnation,
            };
            g_array_append_val(live, entry);
        }
        text = *end == ',' ? end + 1 : end;
    }
    return true;
}

/* Reads the attempts on one incarnation, named by the key. Returns false if any part is invalid. */
static bool read_live_attempts(const char *key, const json_t *attempts, struct ow_progress_record *record)
{
    const char *space = strchr(key, ' ');
    if (space == NULL || !json_is_string(attempts))
        return false;
    char *machine = g_strndup(key, (gsize)(space - key));
    g_ptr_array_add(record->machine_names, machine);
    uint64_t incarnation = strtoull(space + 1, NULL, 10);
    return read_attempts(machine, incarnation, json_string_value(attempts), record->attempts);
}

bool wire_progress_record_decode(const json_t *value, struct ow_progress_record *record)
{
    const char *done = "";
    *record = (struct ow_progress_record){
        .done = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .attempts = g_array_new(FALSE, FALSE, sizeof(struct ow_attempt_record)),
        .machine_names = g_ptr_array_new_with_free_func(g_free),
    };
    wire_json_get_string(value, F_DONE, &done);
    bool is_complete =
        wire_json_get_count(value, F_LAST_ATTEMPT, &record->last_attempt) && read_done(done, record->done);
    /* Valid parts are kept even if others are invalid: an attempt that may exist must not be lost. */
    const char *key;
    json_t *attempts;
    json_object_foreach(json_object_get(value, F_LIVE), key, attempts)
    {
        is_complete = read_live_attempts(key, attempts, record) && is_complete;
    }
    return is_complete;
}

void wire_progress_record_clear(struct ow_progress_record *record)
{
    g_clear_pointer(&record->done, g_array_unref);
    g_clear_pointer(&record->attempts, g_array_unref);
    g_clear_pointer(&record->machine_names, g_ptr_array_unref);
}

/* ---- values of several records ---- */

void wire_progress_value_add(GString *text, const char *job, uint32_t chunk, uint32_t tasks,
                             const char *record)
{
    /* Job ids need no escaping: they are validated on submission. */
    g_string_append_printf(text, "%c\"%s/%u", text->len == 0 ? '{' : ',', job, chunk);
    if (tasks != OW_CHUNK_MAX_TASKS)
        g_string_append_printf(text, ".%u", tasks);
    g_string_append_printf(text, "\":%s", record);
}

void wire_progress_value_end(GString *text)
{
    g_string_append(text, text->len == 0 ? "{}" : "}");
}

/* Parses "<chunk>" or "<chunk>.<tasks>". */
static bool read_chunk(const char *text, guint64 *chunk, guint64 *tasks)
{
    g_auto(GStrv) parts = g_strsplit(text, ".", 2);
    const char *chunk_text = parts[0];
    if (chunk_text == NULL || !g_ascii_string_to_unsigned(chunk_text, 10, 0, OW_MAX_TASKS, chunk, NULL))
        return false;
    const char *tasks_text = parts[1];
    return tasks_text == NULL || g_ascii_string_to_unsigned(tasks_text, 10, 1, OW_MAX_TASKS, tasks, NULL);
}

char *wire_progress_name_decode(const char *name, uint32_t *chunk, uint32_t *tasks)
{
    guint64 chunk_read = 0;
    guint64 tasks_read = OW_CHUNK_MAX_TASKS;
    const char *slash = strrchr(name, '/');
    bool is_name = slash != NULL && read_chunk(slash + 1, &chunk_read, &tasks_read);
    *chunk = (uint32_t)chunk_read;
    *tasks = (uint32_t)tasks_read;
    return is_name ? g_strndup(name, (gsize)(slash - name)) : NULL;
}
