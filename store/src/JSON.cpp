#include "JSON.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <absl/strings/escaping.h>

namespace persimmondoor::store {

static std::string toBase64(const std::string& bytes)
{
    return absl::Base64Escape(bytes);
}

static std::string fromBase64(const std::string& text)
{
    std::string bytes;
    if (!absl::Base64Unescape(text, &bytes))
        throw std::invalid_argument("malformed base64");
    return bytes;
}

static std::string textMember(const json::value& value, std::string_view name)
{
    return member<std::string>(value, name);
}

static Duration durationMember(const json::value& value, std::string_view name)
{
    return Duration(member<int64_t>(value, name));
}

template <typename Counter>
static Counter counterMember(const json::value& value, std::string_view name)
{
    return Counter(member<uint64_t>(value, name));
}

static json::object resourcesToJSON(const Resources& resources)
{
    return { { "milli_cores", resources.milliCores() }, { "memory_bytes", resources.memoryBytes() }, { "accelerators", resources.accelerators() } };
}

static Resources resourcesMember(const json::value& value, std::string_view name)
{
    auto parts = member<json::value>(value, name);
    auto resources = Resources::create(member<int64_t>(parts, "milli_cores"), member<int64_t>(parts, "memory_bytes"), member<int64_t>(parts, "accelerators"));
    if (!resources.ok())
        throw std::invalid_argument(std::string(resources.status().message()));
    return *resources;
}

void tag_invoke(json::value_from_tag, json::value& value, const Row& row)
{
    value = { { "key", row.key_ }, { "value", toBase64(row.value_) }, { "version", row.version_.value() } };
}

Row tag_invoke(json::value_to_tag<Row>, const json::value& value)
{
    return { textMember(value, "key"), fromBase64(textMember(value, "value")), counterMember<RowVersion>(value, "version") };
}

static json::object writeToJSON(const Write& write)
{
    return std::visit(Visitor {
                          [](const Put& put) -> json::object { return { { "put", put.key_ }, { "value", toBase64(put.value_) } }; },
                          [](const Erase& erase) -> json::object { return { { "erase", erase.key_ } }; },
                      },
        write);
}

static Write writeFromJSON(const json::value& value)
{
    if (value.as_object().contains("erase"))
        return Erase { textMember(value, "erase") };
    return Put { textMember(value, "put"), fromBase64(textMember(value, "value")) };
}

void tag_invoke(json::value_from_tag, json::value& value, const Transaction& transaction)
{
    json::array conditions;
    for (const Condition& condition : transaction.conditions_)
        conditions.push_back(json::object { { "key", condition.key_ }, { "version", condition.version_.value() } });
    json::array writes;
    for (const Write& write : transaction.writes_)
        writes.push_back(writeToJSON(write));
    value = json::object { { "conditions", std::move(conditions) }, { "writes", std::move(writes) } };
}

Transaction tag_invoke(json::value_to_tag<Transaction>, const json::value& value)
{
    Transaction transaction;
    for (const json::value& condition : member<json::array>(value, "conditions"))
        transaction.conditions_.push_back({ textMember(condition, "key"), counterMember<RowVersion>(condition, "version") });
    for (const json::value& write : member<json::array>(value, "writes"))
        transaction.writes_.push_back(writeFromJSON(write));
    return transaction;
}

void tag_invoke(json::value_from_tag, json::value& value, const Scan& scan)
{
    value = { { "prefix", scan.prefix_ }, { "after", scan.after_ }, { "limit", scan.limit_ } };
}

Scan tag_invoke(json::value_to_tag<Scan>, const json::value& value)
{
    return { textMember(value, "prefix"), textMember(value, "after"), member<size_t>(value, "limit") };
}

template <typename Tag>
static Name<Tag> nameMember(const json::value& value, std::string_view name)
{
    auto result = Name<Tag>::create(textMember(value, name));
    if (!result.ok())
        throw std::invalid_argument(concat(name, ": ", std::string(result.status().message())));
    return *result;
}

void tag_invoke(json::value_from_tag, json::value& value, const TaskAttempt& task)
{
    value = { { "task", task.task_.value() }, { "attempt", task.attempt_.value() } };
}

TaskAttempt tag_invoke(json::value_to_tag<TaskAttempt>, const json::value& value)
{
    return { nameMember<TaskTag>(value, "task"), counterMember<Attempt>(value, "attempt") };
}

void tag_invoke(json::value_from_tag, json::value& value, const Launch& launch)
{
    value = { { "task", json::value_from(launch.task_) }, { "command", launch.command_ }, { "checkpoint", launch.checkpoint_ },
        { "resources", resourcesToJSON(launch.resources_) }, { "label", toBase64(launch.label_) }, { "lease_us", launch.lease_.count() } };
}

Launch tag_invoke(json::value_to_tag<Launch>, const json::value& value)
{
    return { member<TaskAttempt>(value, "task"), textMember(value, "command"), textMember(value, "checkpoint"), resourcesMember(value, "resources"),
        fromBase64(textMember(value, "label")), durationMember(value, "lease_us") };
}

static constexpr std::string_view stateNames[] = { "running", "finished", "failed", "stopped", "lease-lapsed" };

static TaskState stateMember(const json::value& value)
{
    std::string text = textMember(value, "state");
    for (size_t index = 0; index < std::size(stateNames); ++index) {
        if (stateNames[index] == text)
            return static_cast<TaskState>(index);
    }
    throw std::invalid_argument(concat("unknown task state '", text, "'"));
}

void tag_invoke(json::value_from_tag, json::value& value, const TaskReport& report)
{
    value = { { "task", json::value_from(report.task_) }, { "state", stateNames[static_cast<size_t>(report.state_)] },
        { "resources", resourcesToJSON(report.resources_) }, { "label", toBase64(report.label_) }, { "checkpoint", report.checkpoint_ },
        { "exit_code", report.exitCode_ }, { "result", report.result_ }, { "lease_left_us", report.leaseLeft_.count() } };
}

TaskReport tag_invoke(json::value_to_tag<TaskReport>, const json::value& value)
{
    return { member<TaskAttempt>(value, "task"), stateMember(value), resourcesMember(value, "resources"), fromBase64(textMember(value, "label")),
        textMember(value, "checkpoint"), member<int>(value, "exit_code"), textMember(value, "result"), durationMember(value, "lease_left_us") };
}

void tag_invoke(json::value_from_tag, json::value& value, const WorkerReport& report)
{
    value = { { "revision", report.revision_.value() }, { "incarnation", report.incarnation_.value() }, { "tasks", json::value_from(report.tasks_) } };
}

WorkerReport tag_invoke(json::value_to_tag<WorkerReport>, const json::value& value)
{
    return { counterMember<WorkerRevision>(value, "revision"), counterMember<Incarnation>(value, "incarnation"), member<std::vector<TaskReport>>(value, "tasks") };
}

void tag_invoke(json::value_from_tag, json::value& value, const TaskUsage& usage)
{
    value = { { "task", json::value_from(usage.task_) }, { "used", resourcesToJSON(usage.used_) }, { "throttle", usage.throttle_ }, { "progress", usage.progress_ } };
}

TaskUsage tag_invoke(json::value_to_tag<TaskUsage>, const json::value& value)
{
    return { member<TaskAttempt>(value, "task"), resourcesMember(value, "used"), member<double>(value, "throttle"), member<double>(value, "progress") };
}

void tag_invoke(json::value_from_tag, json::value& value, const WorkerUsage& usage)
{
    value = { { "age_us", usage.age_.count() }, { "tasks", json::value_from(usage.tasks_) } };
}

WorkerUsage tag_invoke(json::value_to_tag<WorkerUsage>, const json::value& value)
{
    return { durationMember(value, "age_us"), member<std::vector<TaskUsage>>(value, "tasks") };
}

void tag_invoke(json::value_from_tag, json::value& value, const ReportQuery& query)
{
    value = { { "since", query.since_.value() }, { "wait_us", query.wait_.count() } };
}

ReportQuery tag_invoke(json::value_to_tag<ReportQuery>, const json::value& value)
{
    return { counterMember<WorkerRevision>(value, "since"), durationMember(value, "wait_us") };
}

} // namespace persimmondoor::store
