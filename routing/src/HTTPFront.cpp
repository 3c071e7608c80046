#include "persimmondoor/routing/HTTPFront.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/http/Routes.h"

#include <absl/strings/numbers.h>
#include <memory>

namespace persimmondoor::routing {

namespace asio = boost::asio;

static constexpr int64_t maximumDeadlineMilliseconds = 600'000;

static absl::StatusOr<bool> readIdempotent(const http::Request& request)
{
    auto header = http::findHeader(request.headers_, idempotentHeader);
    if (!header)
        return request.method_ != "POST" && request.method_ != "PATCH";
    if (*header != "true" && *header != "false")
        return absl::InvalidArgumentError(concat(idempotentHeader, " must be true or false"));
    return *header == "true";
}

static absl::StatusOr<Tier> readTier(const http::Request& request)
{
    std::string tier = http::findHeader(request.headers_, tierHeader).value_or(std::string(describe(Tier::Paying)));
    if (tier == describe(Tier::Paying))
        return Tier::Paying;
    if (tier == describe(Tier::Trial))
        return Tier::Trial;
    return absl::InvalidArgumentError(concat(tierHeader, " must be paying or trial"));
}

static http::Response withOutcome(http::Response response, std::string outcome)
{
    response.headers_.push_back({ std::string(outcomeHeader), std::move(outcome) });
    return response;
}

static http::Response toResponse(RequestOutcome outcome)
{
    return std::visit(Visitor {
                          [](Done& done) { return withOutcome({ done.status_, std::move(done.headers_), std::move(done.body_) }, "done"); },
                          [](NotRun& notRun) {
                              int status = notRun.reason_ == NotRunReason::BadRequest ? 400 : 503;
                              http::Response response = http::errorResponse(status, describe(notRun.reason_), notRun.detail_);
                              response.headers_.push_back({ std::string(reasonHeader), std::string(describe(notRun.reason_)) });
                              return withOutcome(std::move(response), "not-run");
                          },
                          [](Unknown& unknown) { return withOutcome(http::errorResponse(504, "unknown", unknown.detail_), "unknown"); },
                      },
        outcome);
}

static absl::StatusOr<Duration> readDeadline(const http::Request& request)
{
    auto header = http::findHeader(request.headers_, deadlineHeader);
    if (!header)
        return Duration(0);
    int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(*header, &milliseconds) || milliseconds < 1 || milliseconds > maximumDeadlineMilliseconds)
        return absl::InvalidArgumentError(concat(deadlineHeader, " must be a number of milliseconds from 1 to ", maximumDeadlineMilliseconds));
    return std::chrono::milliseconds(milliseconds);
}

static absl::StatusOr<admission::ServiceRequest> toServiceRequest(http::Request request, RequestId id)
{
    std::string_view serviceTarget = request.target_;
    if (!serviceTarget.starts_with(servicesPath))
        return absl::InvalidArgumentError(concat("the path must start with ", servicesPath));
    serviceTarget.remove_prefix(servicesPath.size());
    size_t end = std::min(serviceTarget.find('/'), serviceTarget.find('?'));
    auto service = ServiceName::create(std::string(serviceTarget.substr(0, end)));
    auto deadline = readDeadline(request);
    auto idempotent = readIdempotent(request);
    auto tier = readTier(request);
    for (const absl::Status& status : { service.status(), deadline.status(), idempotent.status(), tier.status() }) {
        if (!status.ok())
            return status;
    }
    std::string_view servicePath = end >= serviceTarget.size() ? std::string_view() : serviceTarget.substr(end);
    std::string target = servicePath.starts_with('/') ? std::string(servicePath) : concat("/", servicePath);
    return admission::ServiceRequest { std::move(id), *service, {}, *tier, *idempotent, *deadline, std::move(request.method_), std::move(target),
        std::move(request.headers_), std::move(request.body_) };
}

static asio::awaitable<RequestOutcome> route(RouterActor router, std::optional<ClaimsActor> claims, admission::ServiceRequest request)
{
    auto key = http::findHeader(request.headers_, idempotencyKeyHeader);
    if (!key || request.idempotent_)
        co_return co_await router.route(std::move(request));
    if (!claims)
        co_return NotRun { NotRunReason::StoreUnavailable, "this entry has no store for idempotency keys" };
    co_return co_await routeClaimed(*std::move(claims), std::move(router), std::move(request), *std::move(key));
}

static asio::awaitable<http::Response> serve(RouterActor router, std::optional<ClaimsActor> claims, http::Request request, RequestId id)
{
    auto serviceRequest = toServiceRequest(std::move(request), std::move(id));
    if (!serviceRequest.ok())
        co_return toResponse(NotRun { NotRunReason::BadRequest, std::string(serviceRequest.status().message()) });
    co_return toResponse(co_await route(std::move(router), std::move(claims), *std::move(serviceRequest)));
}

http::Handler makeHTTPFront(ProcessName process, RouterActor router, std::optional<ClaimsActor> claims)
{
    // The start time distinguishes the request ids of two incarnations of one entry.
    std::string prefix = concat(process.value(), "-", wallMilliseconds(), "-");
    auto requests = std::make_shared<uint64_t>(0);
    return [=](http::Request request) { return serve(router, claims, std::move(request), RequestId::of(concat(prefix, ++*requests))); };
}

} // namespace persimmondoor::routing
