// Reads and checks a JSON tree. Each fault is collected with its path, and reading continues, so that all faults are
// reported together.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Text.h"

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <vector>

namespace persimmondoor::settings {

// The faults of one JSON tree, in the order in which they were found.
class Faults {
public:
    void add(const std::string& path, std::string_view fault) { lines_.push_back(concat(path.empty() ? "(root)" : path, ": ", fault)); }
    // OK, or InvalidArgument with all lines.
    absl::Status status() const;

private:
    std::vector<std::string> lines_;
};

// One value of the tree. For a value that is missing or has the wrong type, the reader records a fault and returns a
// default.
class Reader {
public:
    Reader(const boost::json::value* value, std::string path, Faults& faults)
        : value_(value)
        , path_(std::move(path))
        , faults_(faults)
    {
    }

    // Records a fault for each key that is not among `names`. Returns false if the value is not an object.
    bool expectObject(std::initializer_list<std::string_view> names) const;
    Reader field(std::string_view name) const;
    bool has(std::string_view name) const;

    std::string text() const;
    int64_t integer(int64_t minimum, int64_t maximum) const;
    double number(double minimum, double maximum) const;
    bool boolean() const;
    Address address() const;
    template <typename NameType>
    NameType name() const;

    void forEachItem(const std::function<void(const Reader&)>&) const;
    // Calls the function with each key and its value.
    void forEachField(const std::function<void(const std::string&, const Reader&)>&) const;

    // The value as JSON text; empty if missing.
    std::string json() const;

    void fault(std::string_view what) const { faults_.add(path_, what); }
    const std::string& path() const { return path_; }

private:
    const boost::json::value* value_;
    std::string path_;
    Faults& faults_;
};

template <typename NameType>
NameType Reader::name() const
{
    if (!value_)
        return text(), NameType();
    if (!value_->is_string())
        return text(), NameType();
    auto name = NameType::create(text());
    if (!name.ok()) {
        fault(std::string(name.status().message()));
        return NameType();
    }
    return *std::move(name);
}

// Parses `text` and calls `read` with the root.
// Returns OK, or InvalidArgument with all faults or with the JSON syntax error.
absl::Status readTree(std::string_view text, const std::function<void(const Reader&)>& read);

} // namespace persimmondoor::settings
