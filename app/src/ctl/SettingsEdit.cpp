#include "SettingsEdit.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Time.h"

#include <absl/strings/str_split.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <random>

namespace persimmondoor::app::ctl {

namespace json = boost::json;

static json::value readValue(const std::string& text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return error ? json::value(text) : value;
}

static absl::Status assign(json::value& root, const std::string& path, const std::string& value)
{
    std::vector<std::string> steps = absl::StrSplit(path, '.');
    json::value* target = &root;
    for (size_t index = 0; index < steps.size(); ++index) {
        if (steps[index].empty())
            return absl::InvalidArgumentError(concat("'", path, "' has an empty path component"));
        if (!target->is_object())
            return absl::InvalidArgumentError(concat("'", path, "': the part before '", steps[index], "' is not an object"));
        json::object& object = target->get_object();
        if (index + 1 == steps.size() && value.empty()) {
            object.erase(steps[index]);
            return absl::OkStatus();
        }
        if (!object.contains(steps[index]))
            object[steps[index]] = json::object();
        target = &object[steps[index]];
    }
    *target = readValue(value);
    return absl::OkStatus();
}

absl::StatusOr<std::string> applyAssignments(const std::string& text, const std::vector<std::string>& assignments)
{
    boost::system::error_code error;
    json::value root = json::parse(text, error);
    if (error)
        return absl::InvalidArgumentError("the current contents of the subtree are not valid JSON");
    for (const std::string& assignment : assignments) {
        size_t equals = assignment.find('=');
        if (equals == std::string::npos)
            return absl::InvalidArgumentError(concat("'", assignment, "' is not PATH=VALUE"));
        absl::Status status = assign(root, assignment.substr(0, equals), assignment.substr(equals + 1));
        if (!status.ok())
            return status;
    }
    return json::serialize(root);
}

std::string newWriteId()
{
    std::random_device random;
    return concat("w", wallMilliseconds(), "-", random(), "-", random());
}

} // namespace persimmondoor::app::ctl
