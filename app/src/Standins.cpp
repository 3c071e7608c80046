#include "persimmondoor/app/Standins.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::app {

namespace asio = boost::asio;

static http::Handler echo(const EndpointName& endpoint)
{
    return [endpoint](http::Request request) -> asio::awaitable<http::Response> {
        boost::json::object answer { { "endpoint", endpoint.value() }, { "method", request.method_ }, { "target", request.target_ }, { "body", request.body_ } };
        co_return http::jsonResponse(200, boost::json::serialize(answer) + "\n");
    };
}

absl::StatusOr<std::unique_ptr<Standins>> Standins::start(const asio::any_io_executor& executor, settings::Site site)
{
    auto standins = std::unique_ptr<Standins>(new Standins(std::move(site)));
    for (settings::WorkerSite& worker : standins->site_.workers_) {
        for (settings::EndpointSite& endpoint : worker.endpoints_) {
            auto server = http::Server::listen(executor, endpoint.address_, {}, echo(endpoint.name_));
            if (!server.ok())
                return server.status();
            endpoint.address_ = (*server)->address();
            standins->servers_.push_back(*std::move(server));
        }
    }
    for (const settings::WorkerSite& worker : standins->site_.workers_)
        standins->platform_.workers_.add(worker.name_, worker.resources_);
    auto server = store::serveStandins(executor, standins->site_.platform_, standins->platform_);
    if (!server.ok())
        return server.status();
    standins->site_.platform_ = (*server)->address();
    standins->servers_.push_back(*std::move(server));
    return standins;
}

} // namespace persimmondoor::app
