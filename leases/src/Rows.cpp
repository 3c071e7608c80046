#include "Rows.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace persimmondoor::leases {

// Fields are separated by spaces, which names cannot contain; "-" stands for an empty name or address.
static constexpr std::string_view absent = "-";

static std::vector<std::string> fieldsOf(std::string_view text)
{
    return absl::StrSplit(toAbseil(text), ' ');
}

std::string partitionKey(PartitionNumber partition)
{
    return concat(partitionPrefix, partition.value());
}

std::string ownerKey(const ProcessName& process)
{
    return concat(ownerPrefix, process.value());
}

std::string encode(const PartitionRow& row)
{
    bool vacant = row.owner_.empty();
    return concat(vacant ? absent : std::string_view(row.owner_.value()), " ", row.incarnation_.value(), " ", vacant ? std::string(absent) : row.address_.text(), " ", row.epoch_.value(), " ",
        row.horizon_.count(), " ", row.inheritedHorizon_.count());
}

absl::StatusOr<PartitionRow> decodePartitionRow(std::string_view text)
{
    std::vector<std::string> fields = fieldsOf(text);
    uint64_t incarnation = 0;
    uint64_t epoch = 0;
    int64_t horizon = 0;
    int64_t inherited = 0;
    bool readable = fields.size() == 6 && absl::SimpleAtoi(fields[1], &incarnation) && absl::SimpleAtoi(fields[3], &epoch)
        && absl::SimpleAtoi(fields[4], &horizon) && absl::SimpleAtoi(fields[5], &inherited) && horizon >= 0 && inherited >= 0;
    if (!readable)
        return absl::InvalidArgumentError(concat("malformed partition row, expected \"<owner> <incarnation> <address> <epoch> <horizon> <inherited horizon>\": ", text));
    PartitionRow row { {}, Incarnation(incarnation), {}, Epoch(epoch), Duration(horizon), Duration(inherited) };
    if (fields[0] == absent)
        return row;
    auto owner = ProcessName::create(fields[0]);
    auto address = Address::parse(fields[2]);
    if (!owner.ok() || !address.ok())
        return absl::InvalidArgumentError(concat("malformed partition row, expected \"<owner> <incarnation> <address> <epoch> <horizon> <inherited horizon>\": ", text));
    row.owner_ = *std::move(owner);
    row.address_ = *std::move(address);
    return row;
}

std::string encode(const OwnerRow& row)
{
    return concat(row.incarnation_.value(), " ", row.heartbeatNumber_);
}

absl::StatusOr<OwnerRow> decodeOwnerRow(std::string_view text)
{
    std::vector<std::string> fields = fieldsOf(text);
    uint64_t incarnation = 0;
    uint64_t heartbeat = 0;
    if (fields.size() != 2 || !absl::SimpleAtoi(fields[0], &incarnation) || !absl::SimpleAtoi(fields[1], &heartbeat))
        return absl::InvalidArgumentError(concat("malformed owner row, expected \"<incarnation> <heartbeat>\": ", text));
    return OwnerRow { Incarnation(incarnation), heartbeat };
}

std::optional<PartitionNumber> partitionOf(std::string_view key)
{
    uint64_t number = 0;
    if (!key.starts_with(partitionPrefix) || !absl::SimpleAtoi(toAbseil(key.substr(partitionPrefix.size())), &number))
        return std::nullopt;
    return PartitionNumber(number);
}

std::optional<ProcessName> processOf(std::string_view key)
{
    if (!key.starts_with(ownerPrefix))
        return std::nullopt;
    auto name = ProcessName::create(std::string(key.substr(ownerPrefix.size())));
    return name.ok() ? std::optional(*name) : std::nullopt;
}

} // namespace persimmondoor::leases
