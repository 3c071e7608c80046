// Encoding of the platform's messages as JSON. Row values and task labels may hold any bytes and are encoded in base64.
#pragma once

#include "persimmondoor/store/MemoryObjects.h"
#include "persimmondoor/store/MemoryWorkers.h"
#include "persimmondoor/store/Table.h"
#include "persimmondoor/store/TableState.h"

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>
#include <string>

namespace persimmondoor::store {

namespace json = boost::json;

// NOLINTBEGIN(readability-identifier-naming): tag_invoke is Boost.JSON's name.
void tag_invoke(json::value_from_tag, json::value&, const Row&);
Row tag_invoke(json::value_to_tag<Row>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const Transaction&);
Transaction tag_invoke(json::value_to_tag<Transaction>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const Scan&);
Scan tag_invoke(json::value_to_tag<Scan>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const TaskAttempt&);
TaskAttempt tag_invoke(json::value_to_tag<TaskAttempt>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const Launch&);
Launch tag_invoke(json::value_to_tag<Launch>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const TaskReport&);
TaskReport tag_invoke(json::value_to_tag<TaskReport>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const WorkerReport&);
WorkerReport tag_invoke(json::value_to_tag<WorkerReport>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const TaskUsage&);
TaskUsage tag_invoke(json::value_to_tag<TaskUsage>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const WorkerUsage&);
WorkerUsage tag_invoke(json::value_to_tag<WorkerUsage>, const json::value&);
void tag_invoke(json::value_from_tag, json::value&, const ReportQuery&);
ReportQuery tag_invoke(json::value_to_tag<ReportQuery>, const json::value&);
// NOLINTEND(readability-identifier-naming)

// Returns `value` as JSON text.
template <typename T>
std::string toJSON(const T& value)
{
    return json::serialize(json::value_from(value));
}

// Parses `text` and returns the result of `read` for the parsed value. Returns InvalidArgument if parsing fails or
// `read` throws.
template <typename Read>
auto readJSON(const std::string& text, const Read& read) -> absl::StatusOr<std::invoke_result_t<const Read&, const json::value&>>
{
    try {
        return read(json::parse(text));
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

// Reads a `T` from JSON text.
template <typename T>
absl::StatusOr<T> fromJSON(const std::string& text)
{
    return readJSON(text, [](const json::value& value) { return json::value_to<T>(value); });
}

// Returns member `name` of an object as a `T`. Throws if the member is missing or of another type.
template <typename T>
T member(const json::value& value, std::string_view name)
{
    const json::value* found = value.as_object().if_contains(name);
    if (!found)
        throw std::invalid_argument("missing member '" + std::string(name) + "'");
    return json::value_to<T>(*found);
}

} // namespace persimmondoor::store
