#include "Reader.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::settings {

namespace json = boost::json;

// Maximum nesting depth of a JSON text.
static constexpr size_t maximumDepth = 32;
// Maximum size of a JSON text.
static constexpr size_t maximumBytes = 8 * 1024 * 1024;

absl::Status Faults::status() const
{
    if (lines_.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(absl::StrJoin(lines_, "\n"));
}

bool Reader::expectObject(std::initializer_list<std::string_view> names) const
{
    if (!value_ || !value_->is_object()) {
        fault(value_ ? "must be an object" : "is missing");
        return false;
    }
    for (const auto& item : value_->get_object()) {
        std::string_view key(item.key().data(), item.key().size());
        if (std::find(names.begin(), names.end(), key) == names.end())
            faults_.add(concat(path_, path_.empty() ? "" : ".", key), "unknown key");
    }
    return true;
}

Reader Reader::field(std::string_view name) const
{
    const json::value* found = nullptr;
    if (value_ && value_->is_object())
        found = value_->get_object().if_contains(name);
    return { found, concat(path_, path_.empty() ? "" : ".", name), faults_ };
}

bool Reader::has(std::string_view name) const
{
    return value_ && value_->is_object() && value_->get_object().contains(name);
}

std::string Reader::text() const
{
    if (value_ && value_->is_string())
        return std::string(value_->get_string());
    fault(value_ ? "must be a string" : "is missing");
    return "";
}

int64_t Reader::integer(int64_t minimum, int64_t maximum) const
{
    if (!value_) {
        fault("is missing");
        return minimum;
    }
    boost::system::error_code error;
    int64_t number = value_->to_number<int64_t>(error);
    if (error || value_->is_double()) {
        fault("must be a whole number");
        return minimum;
    }
    if (number < minimum || number > maximum) {
        fault(concat("must be from ", minimum, " to ", maximum));
        return minimum;
    }
    return number;
}

double Reader::number(double minimum, double maximum) const
{
    if (!value_ || !value_->is_number()) {
        fault(value_ ? "must be a number" : "is missing");
        return minimum;
    }
    double number = value_->to_number<double>();
    if (number >= minimum && number <= maximum)
        return number;
    fault(concat("must be from ", minimum, " to ", maximum));
    return minimum;
}

bool Reader::boolean() const
{
    if (value_ && value_->is_bool())
        return value_->get_bool();
    fault(value_ ? "must be true or false" : "is missing");
    return false;
}

std::string Reader::json() const
{
    return value_ ? boost::json::serialize(*value_) : "";
}

Address Reader::address() const
{
    if (!value_ || !value_->is_string())
        return text(), Address();
    auto address = Address::parse(text());
    if (address.ok())
        return *address;
    fault(std::string(address.status().message()));
    return Address();
}

void Reader::forEachItem(const std::function<void(const Reader&)>& read) const
{
    if (!value_ || !value_->is_array()) {
        fault(value_ ? "must be an array" : "is missing");
        return;
    }
    size_t index = 0;
    for (const json::value& item : value_->get_array())
        read(Reader(&item, concat(path_, "[", index++, "]"), faults_));
}

void Reader::forEachField(const std::function<void(const std::string&, const Reader&)>& read) const
{
    if (!value_ || !value_->is_object()) {
        fault(value_ ? "must be an object" : "is missing");
        return;
    }
    for (const auto& item : value_->get_object()) {
        std::string key(item.key());
        read(key, Reader(&item.value(), concat(path_, path_.empty() ? "" : ".", key), faults_));
    }
}

absl::Status readTree(std::string_view text, const std::function<void(const Reader&)>& read)
{
    if (text.size() > maximumBytes)
        return absl::InvalidArgumentError(concat("larger than ", maximumBytes, " bytes"));
    boost::system::error_code error;
    json::parse_options options;
    options.max_depth = maximumDepth;
    json::value tree = json::parse(text, error, {}, options);
    if (error)
        return absl::InvalidArgumentError(concat("not valid JSON: ", error.message()));
    Faults faults;
    read(Reader(&tree, "", faults));
    return faults.status();
}

} // namespace persimmondoor::settings
