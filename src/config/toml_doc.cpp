#include "config/toml_doc.h"

#include <cstdlib>
#include <cstring>
#include <sstream>
#include <string>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

struct toml_doc {
    toml::table table;
};

extern "C" {

struct toml_doc *toml_doc_load(const char *path, char **fault)
{
    try {
        return new toml_doc{toml::parse_file(path)};
    } catch (const toml::parse_error &error) {
        std::ostringstream text;
        text << error.description();
        if (error.source().begin.line > 0)
            text << " (line " << error.source().begin.line << ")";
        *fault = strdup(text.str().c_str());
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
