// Renders documents as text. Written in C++ because the Mustache library is a C++ header.
#include "render.h"

#include <kainjow/mustache.hpp>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

using kainjow::mustache::data;
using kainjow::mustache::mustache;

namespace
{

// Formats a number: integers as they are, others with one decimal.
std::string number_text(const json_t *value)
{
    char text[64];

    if (json_is_integer(value))
        std::snprintf(text, sizeof text, "%lld", (long long)json_integer_value(value));
    else
        std::snprintf(text, sizeof text, "%.1f", json_real_value(value));
    return text;
}

// Returns the text of a string or number, and an empty text for other types.
std::string cell_text(const json_t *value)
{
    if (json_is_string(value))
        return json_string_value(value);
    return json_is_number(value) ? number_text(value) : std::string();
}

// Returns the length of the longest text of each key in a list of maps.
std::map<std::string, size_t> column_widths(const json_t *rows)
{
    std::map<std::string, size_t> widths;

    for (size_t i = 0; i < json_array_size(rows); i++) {
        const char *key;
        json_t *value;
        json_object_foreach(json_array_get(rows, i), key, value)
        {
            size_t &width = widths[key];
            width = std::max(width, cell_text(value).size());
        }
    }
    return widths;
}

data convert(const json_t *value);

// Converts an object. With `widths`, pads its texts and numbers, and adds a has_KEY flag for each.
data convert_map(const json_t *map, const std::map<std::string, size_t> *widths)
{
    data out{data::type::object};
    const char *key;
    json_t *value;

    json_object_foreach(const_cast<json_t *>(map), key, value)
    {
        bool is_cell = json_is_string(value) || json_is_number(value);
        if (!widths || !is_cell) {
            out.set(key, convert(value));
            continue;
        }
        std::string text = cell_text(value);
        bool is_empty = text.empty();
        text.resize(std::max(widths->at(key), text.size()), ' ');
        out.set(key, data{text});
        out.set(std::string("has_") + key,
                data{is_empty ? data::type::bool_false : data::type::bool_true});
    }
    return out;
}

data convert(const json_t *value)
{
    if (json_is_object(value))
        return convert_map(value, nullptr);
    if (json_is_array(value)) {
        data out{data::type::list};
        const std::map<std::string, size_t> widths = column_widths(value);
        for (size_t i = 0; i < json_array_size(value); i++)
            out.push_back(convert_map(json_array_get(value, i), &widths));
        return out;
    }
    if (json_is_boolean(value))
        return data{json_is_true(value) ? data::type::bool_true : data::type::bool_false};
    std::string text = cell_text(value);
    if (text.empty())
        return data{data::type::bool_false};
    return data{text};
}

} // namespace

char *pm_render(const char *template_text, const json_t *document)
{
    mustache view{std::string(template_text)};

    if (!view.is_valid())
        return nullptr;
    view.set_custom_escape([](const std::string &text) { return text; });
    return strdup(view.render(convert(document)).c_str());
}
