#include "StandinFaults.h"

#include "JSON.h"
#include "persimmondoor/core/Text.h"

#include <absl/strings/str_join.h>
#include <functional>

namespace persimmondoor::store {

static json::object toJSON(const StoreFaults& faults)
{
    return { { "down", faults.down_ }, { "delay_us", faults.delay_.count() }, { "lost_replies", faults.repliesToLose_ } };
}

static json::object toJSON(const WorkerFaults& faults)
{
    return { { "down", faults.down_ }, { "paused", faults.paused_ }, { "delay_us", faults.delay_.count() }, { "lost_replies", faults.repliesToLose_ },
        { "fails_everything", faults.failsEverything_ }, { "usage_lag_us", faults.usageLag_.count() } };
}

std::string describeFaults(const PlatformStandins& standins)
{
    json::object workers;
    for (const auto& [name, faults] : standins.workers_.faults())
        workers[name.value()] = toJSON(faults);
    return json::serialize(json::object { { "table", toJSON(standins.table_.faults()) }, { "objects", toJSON(standins.objects_.faults()) }, { "workers", workers } });
}

namespace {

    // Reads the members of JSON objects and collects the errors in them, each with its path.
    class FaultReader {
    public:
        // Stores a value; returns false if it has the wrong type or is out of range.
        using Setter = std::function<bool(const json::value&)>;

        void read(const std::string& path, const json::value& value, const std::map<std::string, Setter>& members)
        {
            if (!value.is_object())
                return add(path, "expected an object");
            for (const auto& item : value.as_object()) {
                std::string name(item.key());
                auto found = members.find(name);
                if (found == members.end())
                    add(concat(path, "/", name), "unknown member");
                else if (!found->second(item.value()))
                    add(concat(path, "/", name), "wrong type or out of range");
            }
        }

        void add(const std::string& path, const std::string& text) { errors_.push_back(concat(path.empty() ? "/" : path, ": ", text)); }

        absl::Status status() const
        {
            return errors_.empty() ? absl::OkStatus() : absl::InvalidArgumentError(absl::StrJoin(errors_, "\n"));
        }

    private:
        std::vector<std::string> errors_;
    };

    FaultReader::Setter flagSetter(bool& target)
    {
        return [&target](const json::value& value) {
            if (!value.is_bool())
                return false;
            target = value.get_bool();
            return true;
        };
    }

    FaultReader::Setter countSetter(int& target)
    {
        return [&target](const json::value& value) {
            if (!value.is_int64() || value.get_int64() < 0 || value.get_int64() > std::numeric_limits<int>::max())
                return false;
            target = static_cast<int>(value.get_int64());
            return true;
        };
    }

    FaultReader::Setter durationSetter(Duration& target)
    {
        return [&target](const json::value& value) {
            constexpr Duration longest = std::chrono::hours(24);
            if (!value.is_int64() || value.get_int64() < 0 || value.get_int64() > longest.count())
                return false;
            target = Duration(value.get_int64());
            return true;
        };
    }

} // namespace

static void readStore(FaultReader& reader, const std::string& path, const json::value& value, StoreFaults& faults)
{
    reader.read(path, value, { { "down", flagSetter(faults.down_) }, { "delay_us", durationSetter(faults.delay_) }, { "lost_replies", countSetter(faults.repliesToLose_) } });
}

static void readWorker(FaultReader& reader, const std::string& path, const json::value& value, WorkerFaults& faults)
{
    reader.read(path, value,
        { { "down", flagSetter(faults.down_) }, { "paused", flagSetter(faults.paused_) }, { "delay_us", durationSetter(faults.delay_) }, { "lost_replies", countSetter(faults.repliesToLose_) },
            { "fails_everything", flagSetter(faults.failsEverything_) }, { "usage_lag_us", durationSetter(faults.usageLag_) } });
}

static void readWorkers(FaultReader& reader, const json::value& value, std::map<WorkerName, WorkerFaults>& workers)
{
    if (!value.is_object())
        return reader.add("/workers", "expected an object");
    for (const auto& item : value.as_object()) {
        std::string path = "/workers/" + std::string(item.key());
        auto name = WorkerName::create(std::string(item.key()));
        auto found = name.ok() ? workers.find(*name) : workers.end();
        if (found == workers.end())
            reader.add(path, "unknown worker");
        else
            readWorker(reader, path, item.value(), found->second);
    }
}

absl::Status injectFaults(const PlatformStandins& standins, const std::string& text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error)
        return absl::InvalidArgumentError(concat("malformed JSON: ", error.message()));
    StoreFaults table = standins.table_.faults();
    StoreFaults objects = standins.objects_.faults();
    std::map<WorkerName, WorkerFaults> workers = standins.workers_.faults();
    FaultReader reader;
    auto always = [](auto read) {
        return [read](const json::value& part) {
            read(part);
            return true;
        };
    };
    reader.read("", value,
        { { "table", always([&](const json::value& part) { readStore(reader, "/table", part, table); }) },
            { "objects", always([&](const json::value& part) { readStore(reader, "/objects", part, objects); }) },
            { "workers", always([&](const json::value& part) { readWorkers(reader, part, workers); }) } });
    if (absl::Status status = reader.status(); !status.ok())
        return status;
    standins.table_.inject(table);
    standins.objects_.inject(objects);
    for (const auto& [name, faults] : workers)
        standins.workers_.inject(name, faults);
    return absl::OkStatus();
}

} // namespace persimmondoor::store
