#include "LeaderRow.h"

#include "persimmondoor/core/Text.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::scheduler {

namespace json = boost::json;

// Longest part of an unreadable row that an error quotes.
static constexpr size_t maximumQuotedBytes = 200;

std::string encodeClaim(const LeaderClaim& claim)
{
    return json::serialize(json::object { { "epoch", claim.epoch_.value() }, { "address", claim.address_ ? claim.address_->text() : "" }, { "nonce", claim.nonce_ } });
}

static absl::StatusOr<LeaderClaim> decodeObject(const json::object& object)
{
    LeaderClaim claim { workflow::LeaderEpoch(object.at("epoch").to_number<uint64_t>()), std::nullopt, object.at("nonce").to_number<uint64_t>() };
    std::string text(object.at("address").as_string());
    if (text.empty())
        return claim;
    auto address = Address::parse(text);
    if (!address.ok())
        return absl::InvalidArgumentError(concat("unreadable leader row: address: ", std::string(address.status().message())));
    claim.address_ = *std::move(address);
    return claim;
}

absl::StatusOr<LeaderClaim> decodeClaim(std::string_view text)
{
    std::string error;
    try {
        return decodeObject(json::parse(text).as_object());
    } catch (const std::exception& failure) {
        error = failure.what();
    }
    return absl::InvalidArgumentError(concat("unreadable leader row: got '", text.substr(0, maximumQuotedBytes), "', expected a JSON object with epoch, address and nonce: ", error));
}

std::string recordRow(const JobId& job)
{
    return concat(recordTable, "/", job.value());
}

std::string progressRow(const JobId& job)
{
    return concat(progressTable, "/", job.value());
}

std::string cancellationRow(const JobId& job)
{
    return concat(cancellationTable, "/", job.value());
}

} // namespace persimmondoor::scheduler
