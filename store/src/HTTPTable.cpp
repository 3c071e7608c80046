#include "HTTPPool.h"
#include "JSON.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

static http::Request postTo(std::string path, std::string body)
{
    return { "POST", std::move(path), { { "Content-Type", "application/json" } }, std::move(body) };
}

static CommitOutcome toOutcome(const http::Response& response)
{
    if (response.status_ == 200) {
        auto version = readJSON(response.body_, [](const json::value& value) { return member<uint64_t>(value, "version"); });
        return version.ok() ? CommitOutcome(Committed { RowVersion(*version) }) : CommitOutcome(ReplyLost { std::string(version.status().message()) });
    }
    if (response.status_ == 409) {
        auto key = readJSON(response.body_, [](const json::value& value) { return member<std::string>(value, "conflict"); });
        return Conflict { key.value_or("") };
    }
    std::string detail = concat("the table service answered ", response.status_, ": ", response.body_);
    // With these statuses the service did not apply the transaction; with any other the outcome is unknown.
    if (response.status_ == 503 || response.status_ == 400 || response.status_ == 413)
        return Unavailable { std::move(detail) };
    return ReplyLost { std::move(detail) };
}

static CommitOutcome toOutcome(const http::ExchangeFailure& failure)
{
    std::string detail(failure.status_.message());
    if (failure.handedOver_)
        return ReplyLost { std::move(detail) };
    return Unavailable { std::move(detail) };
}

asio::awaitable<CommitOutcome> HTTPTable::commit(Transaction transaction) const
{
    http::ExchangeOutcome outcome = co_await http::exchange(pool_, postTo("/v1/table/commit", toJSON(transaction)), platformTimeout, http::Repeat::Never);
    co_return std::visit([](const auto& alternative) { return toOutcome(alternative); }, outcome);
}

static absl::StatusOr<std::vector<Row>> readRows(const absl::StatusOr<std::string>& body)
{
    if (!body.ok())
        return body.status();
    return readJSON(*body, [](const json::value& value) { return member<std::vector<Row>>(value, "rows"); });
}

asio::awaitable<absl::StatusOr<std::vector<Row>>> HTTPTable::read(std::vector<std::string> keys) const
{
    json::object request { { "keys", json::value_from(keys) } };
    co_return readRows(co_await fetch(pool_, postTo("/v1/table/read", json::serialize(request)), platformTimeout));
}

asio::awaitable<absl::StatusOr<std::vector<Row>>> HTTPTable::scan(Scan scan) const
{
    co_return readRows(co_await fetch(pool_, postTo("/v1/table/scan", toJSON(scan)), platformTimeout));
}

} // namespace persimmondoor::store
