#include "wire/submission_json.h"

#include "model/resources.h"
#include "wire/json.h"
#include "wire/words.h"

#include <string.h>

/* Upper bound of a number, in the unit of its field: far more than any machine has, and sums stay finite. */
static const double AMOUNT_MAX = 1e9;

/* Maximum number of allowed machine types in a submission, and of digits in a job id. */
enum { TYPE_NAMES_MAX = 32, ID_DIGITS_MAX = 18 };

G_DEFINE_QUARK(wire_submission_error, wire_submission_error)

bool wire_job_id_is_valid(const char *id)
{
    size_t prefix = strlen(W_JOB_PREFIX);
    if (id == NULL || strncmp(id, W_JOB_PREFIX, prefix) != 0)
        return false;
    size_t digits = strspn(id + prefix, "0123456789");
    return digits >= 1 && digits <= ID_DIGITS_MAX && id[prefix + digits] == '\0';
}

/* ---- types of fields ---- */

/* Reads the value of a field into a member of struct ow_submission, and writes it from there. A read function
   that fails may leave the member set: the submission is freed then. */
struct field_type {
    bool (*read)(const json_t *object, const char *field, void *member);
    json_t *(*write)(const void *member); /* a new reference */
    const char *error;                    /* error text for the user, after the name of the field */
};

static bool read_id(const json_t *object, const char *field, void *member)
{
    const char *id = NULL;
    if (!wire_json_get_string(object, field, &id) || !wire_job_id_is_valid(id))
        return false;
    *(char **)member = g_strdup(id);
    return true;
}

static bool name_is_valid(const char *name)
{
    size_t size = strlen(name);
    return size >= 1 && size <= OW_NAME_MAX;
}

static bool read_name(const json_t *object, const char *field, void *member)
{
    const char *name = NULL;
    if (!wire_json_get_string(object, field, &name) || !name_is_valid(name))
        return false;
    *(char **)member = g_strdup(name);
    return true;
}

static bool read_optional_name(const json_t *object, const char *field, void *member)
{
    return wire_json_is_absent(object, field) || read_name(object, field, member);
}

static json_t *write_text(const void *member)
{
    const char *text = *(char *const *)member;
    return text != NULL ? json_string(text) : json_null();
}

/* Returns the index of the field's value in a table of words; -1 if the field is missing or its value
 * unknown. */
static int read_word(const json_t *object, const char *field, const char *const *words)
{
    const char *word = NULL;
    return wire_json_get_string(object, field, &word) ? wire_word_index(words, word) : -1;
}

static bool read_kind(const json_t *object, const char *field, void *member)
{
    int index = read_word(object, field, wire_job_kinds);
    if (index < 0)
        return false;
    *(enum ow_job_kind *)member = (enum ow_job_kind)index;
    return true;
}

static json_t *write_kind(const void *member)
{
    return json_string(wire_job_kinds[*(const enum ow_job_kind *)member]);
}

static bool read_rank(const json_t *object, const char *field, void *member)
{
    int index = read_word(object, field, wire_job_ranks);
    if (index < 0)
        return false;
    *(enum ow_rank *)member = (enum ow_rank)index;
    return true;
}

static json_t *write_rank(const void *member)
{
    return json_string(wire_job_ranks[*(const enum ow_rank *)member]);
}

static bool read_task_count(const json_t *object, const char *field, void *member)
{
    uint64_t count = 0;
    if (!wire_json_get_count(object, field, &count) || count < 1 || count > OW_MAX_TASKS)
        return false;
    *(uint32_t *)member = (uint32_t)count;
    return true;
}

static json_t *write_task_count(const void *member)
{
    return json_integer((json_int_t) * (const uint32_t *)member);
}

static bool read_amount(const json_t *object, const char *field, void *member)
{
    double *amount = member;
    return wire_json_get_number(object, field, amount) && *amount >= 0 && *amount <= AMOUNT_MAX;
}

static bool read_optional_amount(const json_t *object, const char *field, void *member)
{
    return wire_json_is_absent(object, field) || read_amount(object, field, member);
}

static json_t *write_amount(const void *member)
{
    return json_real(*(const double *)member);
}

static bool read_flag(const json_t *object, const char *field, void *member)
{
    return wire_json_get_bool(object, field, member);
}

static json_t *write_flag(const void *member)
{
    return json_boolean(*(const bool *)member);
}

static bool read_optional_names(const json_t *object, const char *field, void *member)
{
    if (wire_json_is_absent(object, field))
        return true;
    char **names = wire_json_copy_strings(json_object_get(object, field));
    *(char ***)member = names;
    if (names == NULL || g_strv_length(names) > TYPE_NAMES_MAX)
        return false;
    for (char **name = names; *name != NULL; name++)
        if (!name_is_valid(*name))
            return false;
    return true;
}

static json_t *write_optional_names(const void *member)
{
    char *const *names = *(char **const *)member;
    return names != NULL ? wire_json_from_strings(names) : json_null();
}

static const struct field_type id_type = {read_id, write_text, "not the id of a job"};
static const struct field_type name_type = {read_name, write_text, "missing or not a name"};
static const struct field_type optional_name_type = {read_optional_name, write_text, "not a name"};
static const struct field_type kind_type = {read_kind, write_kind, "missing or unknown"};
static const struct field_type rank_type = {read_rank, write_rank, "missing or unknown"};
static const struct field_type task_count_type = {read_task_count, write_task_count,
                                                  "missing or not from 1 to 100000"};
static const struct field_type amount_type = {read_amount, write_amount, "missing or out of range"};
static const struct field_type optional_amount_type = {read_optional_amount, write_amount, "out of range"};
static const struct field_type flag_type = {read_flag, write_flag, "missing or not true or false"};
static const struct field_type optional_names_type = {read_optional_names, write_optional_names,
                                                      "not a list of names"};

/* ---- the fields of a submission ---- */

/* Name, type and member of each field, in the order in which they are stored and checked: the error names the
 * first invalid field. */
#define SUBMISSION_FIELDS(X)                                                                                 \
    X(W_ID, id_type, id)                                                                                     \
    X(W_CLASS, name_type, class_name)                                                                        \
    X(W_TEAM, name_type, team)                                                                               \
    X(W_KIND, kind_type, kind)                                                                               \
    X(W_RANK, rank_type, rank)                                                                               \
    X(W_TASKS, task_count_type, tasks)                                                                       \
    X(W_CPUS, amount_type, need.cpus)                                                                        \
    X(W_GPUS, amount_type, need.gpus)                                                                        \
    X(W_MEMORY_GB, amount_type, need.memory_gb)                                                              \
    X(W_IMAGE, name_type, image)                                                                             \
    X(W_IMAGE_GB, amount_type, image_gb)                                                                     \
    X(W_TYPES, optional_names_type, types)                                                                   \
    X(W_ZONE, optional_name_type, zone)                                                                      \
    X(W_ONE_ZONE, flag_type, one_zone)                                                                       \
    X(W_SPREAD, flag_type, spread)                                                                           \
    X(W_SPOT, flag_type, spot)                                                                               \
    X(W_ESTIMATE_S, amount_type, estimate_s)                                                                 \
    X(W_CHECKPOINT_INTERVAL_S, amount_type, checkpoint_interval_s)                                           \
    X(W_CHECKPOINT_DURATION_S, amount_type, checkpoint_duration_s)                                           \
    X(W_DEADLINE_S, optional_amount_type, deadline_s)

#define MEMBER_FIELD(NAME, TYPE, MEMBER) {NAME, &(TYPE), offsetof(struct ow_submission, MEMBER)},
#define KNOWN_FIELD(NAME, TYPE, MEMBER) WIRE_JSON_SCALAR(NAME),

static const struct submission_field {
    const char *name;
    const struct field_type *type;
    size_t offset; /* of the member in struct ow_submission */
} fields[] = {SUBMISSION_FIELDS(MEMBER_FIELD)};

static const struct wire_json_field known_fields[] = {SUBMISSION_FIELDS(KNOWN_FIELD)};
const struct wire_json_fields wire_submission_fields = WIRE_JSON_FIELDS(known_fields);

struct ow_submission *wire_submission_from_json(const json_t *object, GError **error)
{
    g_autoptr(ow_submission) submission = g_new0(struct ow_submission, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const struct submission_field *field = &fields[i];
        if (!field->type->read(object, field->name, (char *)submission + field->offset)) {
            g_set_error(error, WIRE_SUBMISSION_ERROR, WIRE_SUBMISSION_ERROR_FIELD, "%s: %s", field->name,
                        field->type->error);
            return NULL;
        }
    }
    return g_steal_pointer(&submission);
}

json_t *wire_submission_to_json(const struct ow_submission *submission)
{
    json_t *object = json_object();
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const struct submission_field *field = &fields[i];
        json_t *value = field->type->write((const char *)submission + field->offset);
        json_object_set_new(object, field->name, value);
    }
    return object;
}

/* ---- submissions and descriptions from users ---- */

/* The estimated duration must be 0 for a service, which never ends by itself, and positive otherwise. */
static bool estimate_fits_kind(const struct ow_submission *submission, GError **error)
{
    bool is_service = submission->kind == OW_KIND_SERVICE;
    if (is_service ? submission->estimate_s == 0 : submission->estimate_s > 0)
        return true;
    g_set_error(error, WIRE_SUBMISSION_ERROR, WIRE_SUBMISSION_ERROR_ESTIMATE, "%s: %s", W_ESTIMATE_S,
                is_service ? "must be 0 for a service" : "must be above 0");
    return false;
}

struct ow_submission *wire_submission_from_user_json(const json_t *object, GError **error)
{
    g_autoptr(ow_submission) submission = wire_submission_from_json(object, error);
    if (submission == NULL || !estimate_fits_kind(submission, error))
        return NULL;
    return g_steal_pointer(&submission);
}

struct ow_submission *wire_submission_decode(const char *text, size_t size, char *id, GError **error)
{
    json_auto_t *object = wire_json_parse_object(text, size, &wire_submission_fields);
    const char *id_read = NULL;
    *id = '\0';
    if (object == NULL) {
        g_set_error_literal(error, WIRE_SUBMISSION_ERROR, WIRE_SUBMISSION_ERROR_NOT_AN_OBJECT,
                            "not a JSON object");
        return NULL;
    }
    if (wire_json_get_string(object, W_ID, &id_read) && wire_job_id_is_valid(id_read))
        g_strlcpy(id, id_read, OW_ID_MAX + 1);
    return wire_submission_from_user_json(object, error);
}
