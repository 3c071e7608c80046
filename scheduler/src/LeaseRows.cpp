#include "LeaseRows.h"

#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <vector>

namespace persimmondoor::scheduler {

namespace json = boost::json;

std::string encodeChain(const ChainEntry& entry)
{
    std::string text = concat(entry.epoch_.value(), ":", entry.transaction_);
    return entry.leaseEndMs_ ? concat(text, ":", *entry.leaseEndMs_) : text;
}

absl::StatusOr<ChainEntry> decodeChain(std::string_view text)
{
    std::vector<std::string> parts = absl::StrSplit(std::string(text), ':');
    uint64_t epoch = 0;
    uint64_t transaction = 0;
    int64_t leaseEndMs = 0;
    bool isReadable = (parts.size() == 2 || parts.size() == 3) && absl::SimpleAtoi(parts[0], &epoch) && absl::SimpleAtoi(parts[1], &transaction) && (parts.size() == 2 || (absl::SimpleAtoi(parts[2], &leaseEndMs) && leaseEndMs >= 0));
    if (!isReadable)
        return absl::InvalidArgumentError(concat("unreadable chain row: got '", text.substr(0, 200), "', expected epoch:transaction or epoch:transaction:milliseconds"));
    ChainEntry entry { workflow::LeaderEpoch(epoch), transaction, std::nullopt };
    if (parts.size() == 3)
        entry.leaseEndMs_ = leaseEndMs;
    return entry;
}

std::string encodeSilentWorkers(const SilentWorkers& silent)
{
    json::array workers;
    for (const auto& [incarnation, leaseEndMs] : silent.leaseEndsMs_)
        workers.emplace_back(json::array { incarnation.name_, incarnation.bornMs_, incarnation.host_, leaseEndMs });
    return json::serialize(workers);
}

static SilentWorkers decodeWorkerList(const json::array& workers)
{
    SilentWorkers silent;
    for (const json::value& item : workers) {
        const json::array& worker = item.as_array();
        workflow::WorkerIncarnation incarnation { std::string(worker.at(0).as_string()), worker.at(1).to_number<int64_t>(), std::string(worker.at(2).as_string()) };
        silent.leaseEndsMs_[std::move(incarnation)] = worker.at(3).to_number<int64_t>();
    }
    return silent;
}

absl::StatusOr<SilentWorkers> decodeSilentWorkers(std::string_view text)
{
    std::string error;
    try {
        return decodeWorkerList(json::parse(text).as_array());
    } catch (const std::exception& failure) {
        error = failure.what();
    }
    return absl::InvalidArgumentError(concat("unreadable row of silent workers: got '", text.substr(0, 200), "', expected a list of [name, born, host, milliseconds]: ", error));
}

static void restoreSilentWorkers(std::string_view text, const StoreClock& clock, workflow::LeaseBounds& bounds)
{
    if (text.empty())
        return;
    auto silent = decodeSilentWorkers(text);
    if (!silent.ok())
        return logWarning("leases.unreadable", { { "row", std::string(silentWorkersRow) }, { "reason", std::string(silent.status().message()) } });
    for (const auto& [incarnation, leaseEndMs] : silent->leaseEndsMs_) {
        if (auto leaseEnd = timeOfReading(clock, leaseEndMs))
            bounds.silentWorkers_[incarnation] = *leaseEnd;
    }
}

workflow::LeaseBounds restoreLeaseBounds(const workflow::Tuning& tuning, std::string_view chain, std::string_view silentWorkers, const StoreClock& clock, Instant claimWonAt)
{
    auto entry = decodeChain(chain);
    if (!entry.ok() && !chain.empty())
        logWarning("leases.unreadable", { { "row", "chain" }, { "reason", std::string(entry.status().message()) } });
    // The silent workers' row of another version may be out of date.
    if (!entry.ok() || !entry->leaseEndMs_)
        return workflow::boundsWithoutRecord(tuning, tuning.grantPeriodWithoutBound_, claimWonAt);
    workflow::LeaseBounds bounds = workflow::boundsWithoutRecord(tuning, tuning.fullLeasePeriod_, claimWonAt);
    std::optional<Instant> stored = *entry->leaseEndMs_ > 0 ? timeOfReading(clock, *entry->leaseEndMs_) : std::nullopt;
    if (!stored)
        return bounds;
    bounds.latest_ = std::min(bounds.latest_, *stored);
    restoreSilentWorkers(silentWorkers, clock, bounds);
    return bounds;
}

} // namespace persimmondoor::scheduler
