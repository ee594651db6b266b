#include "wire/description_json.h"

#include "wire/json.h"
#include "wire/submission_json.h"

/* The only field of a job's description that is not part of a submission. */
#define F_COMMAND "command"

static const struct wire_json_field command_field_list[] = {WIRE_JSON_SCALAR(F_COMMAND)};
static const struct wire_json_fields command_fields = WIRE_JSON_FIELDS(command_field_list);

/* Reads the command line (g_strfreev). Returns NULL if there is none. */
static char **read_command(const char *text, size_t size)
{
    json_auto_t *object = wire_json_parse_object(text, size, &command_fields);
    return wire_json_copy_strings(json_object_get(object, F_COMMAND));
}

struct wire_job_description *wire_job_description_decode(const char *text, size_t size)
{
    g_auto(GStrv) command = read_command(text, size);
    if (command == NULL || command[0] == NULL)
        return NULL;
    json_auto_t *object = wire_json_parse_object(text, size, &wire_submission_fields);
    g_autoptr(ow_submission) submission = wire_submission_from_user_json(object, NULL);
    if (submission == NULL)
        return NULL;
    struct wire_job_description *description = g_new0(struct wire_job_description, 1);
    description->submission = g_steal_pointer(&submission);
    description->command = g_steal_pointer(&command);
    return description;
}

void wire_job_description_free(struct wire_job_description *description)
{
    if (description == NULL)
        return;
    ow_submission_free(description->submission);
    g_strfreev(description->command);
    g_free(description);
}
