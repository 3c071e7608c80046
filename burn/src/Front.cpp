#include "persimmondoor/burn/BurnActor.h"
#include "persimmondoor/core/Time.h"

namespace persimmondoor::burn {

namespace asio = boost::asio;

static constexpr std::string_view servicesPath = "/services/";
static constexpr int firstServerError = 500;

static std::string outcomeOf(const http::Response& response)
{
    return http::findHeader(response.headers_, "Persimmondoor-Outcome").value_or("none");
}

// A malformed request is the caller's fault and does not count against the service.
static bool isCounted(const http::Response& response)
{
    return http::findHeader(response.headers_, "Persimmondoor-Reason").value_or("") != "bad-request";
}

static asio::awaitable<http::Response> answer(http::Handler handler, BurnActor burn, http::Request request)
{
    std::string_view serviceTarget = request.target_;
    serviceTarget.remove_prefix(std::min(serviceTarget.size(), servicesPath.size()));
    auto service = ServiceName::create(std::string(serviceTarget.substr(0, std::min(serviceTarget.find('/'), serviceTarget.find('?')))));
    Clock clock = SteadyClock();
    Instant start = now(clock);
    http::Response response = co_await handler(std::move(request));
    if (service.ok() && isCounted(response)) {
        std::string outcome = outcomeOf(response);
        bool succeeded = outcome == "done" && response.status_ < firstServerError;
        Observed observed { *service, now(clock) - start, succeeded };
        burn.observe(std::move(observed), std::move(outcome));
    }
    co_return response;
}

http::Handler observe(http::Handler handler, BurnActor burn)
{
    return [handler = std::move(handler), burn = std::move(burn)](http::Request request) { return answer(handler, burn, std::move(request)); };
}

static http::Response page(std::string type, std::string body)
{
    http::Response response;
    response.headers_.push_back({ "Content-Type", std::move(type) });
    response.body_ = std::move(body);
    return response;
}

static asio::awaitable<http::Response> showReport(BurnActor burn, http::Request request)
{
    std::string format = http::queryParameter(request, "format").value_or("text");
    BurnReport report = co_await burn.report();
    if (format == "json")
        co_return http::jsonResponse(200, jsonOf(report));
    if (format == "html")
        co_return page("text/html; charset=utf-8", htmlOf(report));
    if (format != "text")
        co_return http::errorResponse(400, "invalid", "format must be text, json or html");
    co_return page("text/plain; charset=utf-8", textOf(report));
}

static asio::awaitable<http::Response> showMetrics(BurnActor burn, http::Request request)
{
    bool asJSON = http::queryParameter(request, "format").value_or("text") == "json";
    std::string body = co_await burn.metrics(asJSON);
    if (asJSON)
        co_return http::jsonResponse(200, std::move(body));
    co_return page("text/plain; version=0.0.4", std::move(body));
}

void offerBurn(http::Routes& routes, const BurnActor& burn)
{
    routes.add("GET", "/v1/report", [burn](http::Request request) { return showReport(burn, std::move(request)); });
    routes.add("GET", "/v1/metrics", [burn](http::Request request) { return showMetrics(burn, std::move(request)); });
}

} // namespace persimmondoor::burn
