#include "Template.h"

#include <boost/json.hpp>
#include <stdexcept>
#include <vector>

namespace persimmondoor::review {

namespace json = boost::json;

namespace {

    // What names refer to within a section: its entry and the entry's key, and whether it is the last one.
    struct Scope {
        const json::value* entry_ { nullptr };
        std::string key_;
        bool isLast_ { true };
    };

} // namespace

static const json::value* find(const json::value& root, const std::string& path)
{
    const json::value* value = &root;
    for (size_t start = 0; value && start <= path.size();) {
        size_t end = std::min(path.find('.', start), path.size());
        std::string name = path.substr(start, end - start);
        if (value->is_object())
            value = value->get_object().if_contains(name);
        else if (value->is_array())
            value = value->get_array().if_contains(std::stoul(name));
        else
            value = nullptr;
        start = end + 1;
    }
    return value;
}

static std::string toText(const json::value* value)
{
    if (!value || value->is_null())
        return "";
    if (value->is_string())
        return std::string(value->get_string());
    if (!value->is_array())
        return json::serialize(*value);
    std::string list;
    for (const json::value& item : value->get_array())
        list += (list.empty() ? "" : ",") + toText(&item);
    return list;
}

static std::string render(const std::string& text, const json::value& root, const Scope& scope);

static std::string renderEntries(const std::string& inner, const json::value& root, const json::value& value)
{
    std::string rendered;
    if (value.is_object()) {
        size_t left = value.get_object().size();
        for (const auto& [key, entry] : value.get_object())
            rendered += render(inner, root, { &entry, std::string(key), --left == 0 });
    } else if (value.is_array()) {
        size_t count = value.get_array().size();
        for (size_t index = 0; index < count; ++index)
            rendered += render(inner, root, { &value.get_array()[index], std::to_string(index), index + 1 == count });
    } else {
        rendered = render(inner, root, { &value, "", true });
    }
    return rendered;
}

static std::string renderPlaceholder(std::string name, const json::value& root, const Scope& scope)
{
    size_t bar = name.find("|json");
    bool asJson = bar != std::string::npos;
    if (asJson)
        name.erase(bar);
    if (name == "@")
        return scope.key_;
    if (name == ",")
        return scope.isLast_ ? "" : ",";
    const json::value* value = name == "." ? scope.entry_ : find(root, name);
    if (asJson)
        return value ? json::serialize(*value) : "null";
    return toText(value);
}

static std::string render(const std::string& text, const json::value& root, const Scope& scope)
{
    std::string rendered;
    size_t position = 0;
    while (true) {
        size_t open = text.find("{{", position);
        if (open == std::string::npos)
            return rendered + text.substr(position);
        rendered += text.substr(position, open - position);
        size_t close = text.find("}}", open);
        if (close == std::string::npos)
            throw std::runtime_error("the template has a placeholder without an end");
        std::string name = text.substr(open + 2, close - open - 2);
        position = close + 2;
        bool isSection = name.starts_with('#') || name.starts_with('^');
        if (!isSection) {
            rendered += renderPlaceholder(name, root, scope);
            continue;
        }
        std::string field = name.substr(1);
        std::string endMark = "{{/" + field + "}}";
        size_t end = text.find(endMark, position);
        if (end == std::string::npos)
            throw std::runtime_error("the template has no end of section " + field);
        std::string inner = text.substr(position, end - position);
        position = end + endMark.size();
        const json::value* value = find(root, field);
        bool isPresent = value && !value->is_null() && !(value->is_bool() && !value->get_bool());
        if (name[0] == '#' && isPresent)
            rendered += renderEntries(inner, root, *value);
        if (name[0] == '^' && !isPresent)
            rendered += render(inner, root, scope);
    }
}

std::string renderTemplate(const std::string& text, const json::object& fields)
{
    json::value root(fields);
    return render(text, root, { &root, "", true });
}

} // namespace persimmondoor::review
