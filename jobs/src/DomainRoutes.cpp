#include "DomainRoutes.h"

#include "Store.h"
#include "persimmondoor/core/Text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <random>

namespace persimmondoor::jobs {

namespace asio = boost::asio;
namespace json = boost::json;

static json::object toJson(const FailureDomainName& domain, const store::Row& row)
{
    bool known = row.version_ != store::RowVersion();
    auto value = known ? decodeDomainRow(row.value_) : absl::StatusOr<DomainRow>(DomainRow {});
    bool inService = value.ok() && value->inService_;
    return { { "domain", domain.value() }, { "state", inService ? "in_service" : "drained" }, { "version", row.version_.value() },
        { "changed_at_ms", value.ok() ? value->changedAt_ : 0 } };
}

static http::Response unavailable(const absl::Status& status)
{
    return http::errorResponse(503, "store_unavailable", std::string(status.message()));
}

asio::awaitable<http::Response> showDomains(JobsFront front, http::Request request)
{
    std::string name = http::pathBelow(request, "/v1/domains");
    std::vector<std::string> keys;
    std::vector<FailureDomainName> shown;
    for (const FailureDomainName& domain : front.domains()) {
        if (name.empty() || name == domain.value()) {
            keys.push_back(domainKey(domain));
            shown.push_back(domain);
        }
    }
    if (shown.empty() && !name.empty())
        co_return http::errorResponse(404, "no_such_domain", name);
    auto rows = co_await store::read(front.table(), keys);
    if (!rows.ok())
        co_return unavailable(rows.status());
    json::array domains;
    for (size_t index = 0; index < shown.size(); ++index)
        domains.push_back(toJson(shown[index], (*rows)[index]));
    if (!name.empty())
        co_return http::jsonResponse(200, json::serialize(domains.front()) + "\n");
    json::object body;
    body["domains"] = std::move(domains);
    co_return http::jsonResponse(200, json::serialize(body) + "\n");
}

namespace {

    struct DomainChange {
        FailureDomainName domain_;
        bool inService_ { true };
        store::RowVersion version_;
    };

} // namespace

static absl::StatusOr<DomainChange> readChange(const http::Request& request)
{
    auto domain = FailureDomainName::create(http::pathBelow(request, "/v1/domains"));
    if (!domain.ok())
        return domain.status();
    boost::system::error_code error;
    json::value body = json::parse(json::string_view(request.body_.data(), request.body_.size()), error);
    const json::object* object = error ? nullptr : body.if_object();
    const json::value* action = object ? object->if_contains("action") : nullptr;
    const json::value* version = object ? object->if_contains("version") : nullptr;
    if (!action || !action->is_string() || (action->get_string() != "drain" && action->get_string() != "restore"))
        return absl::InvalidArgumentError("action: must be \"drain\" or \"restore\"");
    if (!version || !version->is_number() || version->to_number<double>() < 0)
        return absl::InvalidArgumentError("version: must be the version of the domain as last read");
    return DomainChange { *domain, action->get_string() == "restore", store::RowVersion(version->to_number<uint64_t>()) };
}

static http::Response stateResponse(const FailureDomainName& domain, const store::Row& row)
{
    return http::jsonResponse(200, json::serialize(toJson(domain, row)) + "\n");
}

static http::Response conflict(const FailureDomainName& domain, const store::Row& row)
{
    json::object body = toJson(domain, row);
    body["error"] = "conflict";
    body["detail"] = "the domain was changed after the given version";
    return http::jsonResponse(409, json::serialize(body) + "\n");
}

asio::awaitable<http::Response> changeDomain(JobsFront front, http::Request request)
{
    auto change = readChange(request);
    if (!change.ok())
        co_return http::errorResponse(400, "bad_request", std::string(change.status().message()));
    if (!front.domains().contains(change->domain_))
        co_return http::errorResponse(404, "no_such_domain", change->domain_.value());
    std::string key = domainKey(change->domain_);
    // Distinguishes this change from another operator's if the reply is lost.
    std::random_device random;
    DomainRow value { change->inService_, concat(wallMilliseconds(), "-", random()), wallMilliseconds() };
    store::Transaction transaction;
    transaction.conditions_.push_back({ key, change->version_ });
    transaction.writes_.emplace_back(store::Put { key, encode(value) });
    store::CommitOutcome outcome = co_await store::commit(front.table(), std::move(transaction));
    if (const auto* refused = std::get_if<store::Unavailable>(&outcome))
        co_return http::errorResponse(503, "store_unavailable", refused->detail_);
    if (const auto* committed = std::get_if<store::Committed>(&outcome))
        co_return stateResponse(change->domain_, store::Row { key, encode(value), committed->version_ });
    std::vector<std::string> keys { key };
    auto rows = co_await store::read(front.table(), std::move(keys));
    if (!rows.ok())
        co_return http::errorResponse(504, "outcome_unknown", "the change may have taken effect; read the domain's state");
    auto present = decodeDomainRow(rows->front().value_);
    if (present.ok() && present->change_ == value.change_)
        co_return stateResponse(change->domain_, rows->front());
    // The reply was lost and the row is unchanged: the transaction may still be applied late.
    if (std::holds_alternative<store::ReplyLost>(outcome) && rows->front().version_ == change->version_)
        co_return http::errorResponse(504, "outcome_unknown", "the change may have taken effect; read the domain's state");
    co_return conflict(change->domain_, rows->front());
}

} // namespace persimmondoor::jobs
