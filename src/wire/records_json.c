#include "wire/records_json.h"

#include "wire/json.h"
#include "wire/submission_json.h"

/* Field names are short, because the size of values is limited. */
#define F_STATE "e"
#define F_SUBMISSION "s"
#define F_ACCEPTED_AT "t"
#define F_LEADER_FENCING_TOKEN "c"
#define F_FORMAT "v"
#define F_CONTROLLER "node"
#define F_NONCE "nonce"

static bool is_final(uint64_t state)
{
    return state == OW_JOB_DONE || state == OW_JOB_CANCELLED;
}

char *wire_job_record_encode(const struct ow_job_record *record)
{
    json_t *object = json_object();
    if (is_final(record->state))
        json_object_set_new(object, F_STATE, json_integer(record->state));
    if (record->submission != NULL)
        json_object_set_new(object, F_SUBMISSION, wire_submission_to_json(record->submission));
    if (record->accepted_at > 0)
        json_object_set_new(object, F_ACCEPTED_AT, json_integer((json_int_t)record->accepted_at));
    if (record->leader_fencing_token > 0)
        json_object_set_new(object, F_LEADER_FENCING_TOKEN,
                            json_integer((json_int_t)record->leader_fencing_token));
    return wire_json_print_and_unref(object);
}

bool wire_job_record_decode(const json_t *value, struct ow_job_record *record)
{
    uint64_t state = OW_JOB_QUEUED;
    bool has_state = wire_json_get_count(value, F_STATE, &state);
    *record = (struct ow_job_record){.state = (enum ow_job_state)state};
    bool is_sound =
        wire_json_get_optional_number(value, F_ACCEPTED_AT, &record->accepted_at) &&
        wire_json_get_optional_count(value, F_LEADER_FENCING_TOKEN, &record->leader_fencing_token) &&
        (has_state || wire_json_is_absent(value, F_STATE));
    const json_t *submission = json_object_get(value, F_SUBMISSION);
    if (submission != NULL)
        record->submission = wire_submission_from_json(submission, NULL);
    return is_sound && (has_state ? is_final(state) : record->submission != NULL);
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
