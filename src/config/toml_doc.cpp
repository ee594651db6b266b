#include "config/toml_doc.h"

#include "config/causes.h"

#include <string>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

struct toml_doc {
    toml::table table;
};

/* The library gives a line to every error of syntax, and none where the file could not be opened. */
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

struct toml_doc *toml_doc_load(const char *path, GError **error)
{
    try {
        return new toml_doc{toml::parse_file(path)};
    } catch (const toml::parse_error &cause) {
        set_error(error, cause);
        return nullptr;
    }
}

void toml_doc_free(struct toml_doc *doc)
{
    delete doc;
}

enum toml_kind toml_doc_kind(const struct toml_doc *doc, const char *path)
{
    auto node = doc->table.at_path(path);
    if (!node)
        return TOML_NONE;
    if (node.is_string())
        return TOML_STRING;
    return node.is_number() ? TOML_NUMBER : TOML_OTHER;
}

const char *toml_doc_string(const struct toml_doc *doc, const char *path)
{
    auto node = doc->table.at_path(path);
    return node.is_string() ? node.as_string()->get().c_str() : nullptr;
}

bool toml_doc_number(const struct toml_doc *doc, const char *path, double *out)
{
    auto value = doc->table.at_path(path).value<double>();
    if (!value)
        return false;
    *out = *value;
    return true;
}

size_t toml_doc_count(const struct toml_doc *doc, const char *path)
{
    auto node = doc->table.at_path(path);
    return node.is_array() ? node.as_array()->size() : 0;
}
}
