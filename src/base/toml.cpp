#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "base/toml.h"

#include <cstdio>
#include <string>

struct pm_toml {
    toml::table table;
};

extern "C" struct pm_toml *pm_toml_load(const char *path, char *err, size_t err_size)
{
    toml::parse_result result = toml::parse_file(path);
    if (!result) {
        std::string what(result.error().description());
        std::snprintf(err, err_size, "line %u: %s", (unsigned)result.error().source().begin.line,
                      what.c_str());
        return nullptr;
    }
    return new pm_toml{std::move(result).table()};
}

extern "C" void pm_toml_free(struct pm_toml *doc)
{
    delete doc;
}

extern "C" bool pm_toml_text(const struct pm_toml *doc, const char *path, char *out, size_t size)
{
    auto value = doc->table.at_path(path).value_exact<std::string>();
    if (!value || value->size() >= size)
        return false;
    std::snprintf(out, size, "%s", value->c_str());
    return true;
}

extern "C" bool pm_toml_number(const struct pm_toml *doc, const char *path, double *out)
{
    auto node = doc->table.at_path(path);
    if (!node.is_number())
        return false;
    *out = *node.value<double>();
    return true;
}

extern "C" bool pm_toml_has(const struct pm_toml *doc, const char *path)
{
    return static_cast<bool>(doc->table.at_path(path));
}

extern "C" int pm_toml_count(const struct pm_toml *doc, const char *path)
{
    auto list = doc->table.at_path(path).as_array();
    return list ? (int)list->size() : -1;
}
