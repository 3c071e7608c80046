#include "persimmondoor/hosting/Messages.h"

#include "../Label.h"
#include "persimmondoor/core/Hash.h"
#include "persimmondoor/core/Text.h"

#include <absl/strings/numbers.h>

namespace persimmondoor::hosting {

std::string_view describe(StartRefusal reason)
{
    switch (reason) {
    case StartRefusal::Capacity:
        return "capacity";
    case StartRefusal::StaleStamp:
        return "stale-stamp";
    case StartRefusal::StaleEpoch:
        return "stale-epoch";
    case StartRefusal::StaleAttempt:
        return "stale-attempt";
    case StartRefusal::Draining:
        return "draining";
    case StartRefusal::WorkerUnavailable:
        return "worker-unavailable";
    case StartRefusal::EarlierAttemptRuns:
        return "earlier-attempt-runs";
    }
    return "unknown";
}

bool endsAttempt(const TaskEvent& event)
{
    return !std::holds_alternative<TaskStarted>(event) && !std::holds_alternative<TaskCheckpointed>(event);
}

uint64_t digestOf(const std::vector<TaskAttempt>& tasks)
{
    uint64_t digest = 0;
    for (const TaskAttempt& task : tasks)
        digest += hashOf(task.task_.value(), task.attempt_.value());
    return digest;
}

static constexpr std::string_view labelPrefix = "persimmondoor partition ";

std::string encodeLabel(PartitionNumber partition)
{
    return concat(labelPrefix, partition.value());
}

std::optional<PartitionNumber> decodeLabel(std::string_view label)
{
    uint64_t number = 0;
    if (!label.starts_with(labelPrefix) || !absl::SimpleAtoi(toAbseil(label.substr(labelPrefix.size())), &number))
        return std::nullopt;
    return PartitionNumber(number);
}

} // namespace persimmondoor::hosting
