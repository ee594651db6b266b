#include "config/toml_doc.h"

#include "config/config_error.h"

#include <string>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

struct ow_toml_doc {
    toml::table table;
};

/* toml++ sets a line in every syntax error, and line 0 if the file could not be opened. */
static void set_error(GError **error, const toml::parse_error &cause)
{
    const std::string text(cause.description());
    const unsigned line = cause.source().begin.line;
    if (line > 0)
        g_set_error(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_SYNTAX, "%s (line %u)", text.c_str(), line);
    else
        g_set_error_literal(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_UNREADABLE, text.c_str());
}

extern "C" {

struct ow_toml_doc *ow_toml_doc_load(const char *path, GError **error)
{
    try {
        return new ow_toml_doc{toml::parse_file(path)};
    } catch (const toml::parse_error &cause) {
        set_error(error, cause);
        return nullptr;
    }
}

void ow_toml_doc_free(struct ow_toml_doc *doc)
{
    delete doc;
}

enum ow_toml_kind ow_toml_doc_kind(const struct ow_toml_doc *doc, const char *path)
{
    auto node = doc->table.at_path(path);
    if (!node)
        return OW_TOML_NONE;
    if (node.is_string())
        return OW_TOML_STRING;
    return node.is_number() ? OW_TOML_NUMBER : OW_TOML_OTHER;
}

const char *ow_toml_doc_string(const struct ow_toml_doc *doc, const char *path)
{
    auto node = doc->table.at_path(path);
    return node.is_string() ? node.as_string()->get().c_str() : nullptr;
}

bool ow_toml_doc_number(const struct ow_toml_doc *doc, const char *path, double *out)
{
    auto value = doc->table.at_path(path).value<double>();
    if (!value)
        return false;
    *out = *value;
    return true;
}

size_t ow_toml_doc_count(const struct ow_toml_doc *doc, const char *path)
{
    auto node = doc->table.at_path(path);
    return node.is_array() ? node.as_array()->size() : 0;
}
}
