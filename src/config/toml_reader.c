#include "config/toml_reader.h"

#include "util/endpoint.h"

#include <math.h>

void ow_toml_reader_fail(struct ow_toml_reader *reader, enum ow_config_error code, const char *path,
                         const char *reason)
{
    if (reader->error == NULL)
        reader->error = g_error_new(OW_CONFIG_ERROR, (gint)code, "%s: %s", path, reason);
}

/* Records that the path has no value, or a value of the wrong kind, which `reason` describes. */
static void fail_missing_or_malformed(struct ow_toml_reader *reader, const char *path, const char *reason)
{
    if (ow_toml_doc_kind(reader->doc, path) == OW_TOML_NONE)
        ow_toml_reader_fail(reader, OW_CONFIG_ERROR_MISSING_FIELD, path, "is missing");
    else
        ow_toml_reader_fail(reader, OW_CONFIG_ERROR_MALFORMED_VALUE, path, reason);
}

char *ow_toml_read_text(struct ow_toml_reader *reader, const char *path)
{
    const char *value = ow_toml_doc_string(reader->doc, path);
    if (value == NULL)
        fail_missing_or_malformed(reader, path, "is not a string");
    else if (*value == '\0')
        ow_toml_reader_fail(reader, OW_CONFIG_ERROR_MISSING_FIELD, path, "is empty");
    return g_strdup(value != NULL ? value : "");
}

char *ow_toml_read_endpoint(struct ow_toml_reader *reader, const char *path)
{
    char *value = ow_toml_read_text(reader, path);
    if (!ow_endpoint_is_valid(value))
        ow_toml_reader_fail(reader, OW_CONFIG_ERROR_MALFORMED_VALUE, path, "is not ADDRESS:PORT");
    return value;
}

double ow_toml_read_number(struct ow_toml_reader *reader, const char *path, double min, double max)
{
    double value = 0;
    if (!ow_toml_doc_number(reader->doc, path, &value))
        fail_missing_or_malformed(reader, path, "is not a number");
    else if (!isfinite(value) || value < min || value > max)
        ow_toml_reader_fail(reader, OW_CONFIG_ERROR_OUT_OF_RANGE, path, "is out of range");
    return value;
}

char *ow_toml_path(const char *array, size_t index, const char *field)
{
    return g_strdup_printf("%s[%zu].%s", array, index, field);
}
