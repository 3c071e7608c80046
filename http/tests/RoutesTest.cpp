#include "persimmondoor/http/Routes.h"
#include "persimmondoor/http/Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::http;

namespace {

// Sends `request` to a new server and returns the status of the response, or 0 if there was none.
int statusOf(Limits limits, const Routes& routes, Request request)
{
    boost::asio::io_context context(1);
    auto server = Server::listen(context.get_executor(), *Address::parse("127.0.0.1:0"), limits, routes.handler());
    BOOST_REQUIRE(server.ok());
    int status = 0;
    boost::asio::co_spawn(context, exchangeOnce(context.get_executor(), (*server)->address(), std::move(request), std::chrono::seconds(5)),
        [&](const std::exception_ptr&, ExchangeOutcome outcome) {
            if (const auto* response = std::get_if<Response>(&outcome))
                status = response->status_;
            (*server)->close();
        });
    context.run();
    return status;
}

Routes echoRoutes()
{
    Routes routes;
    routes.add("POST", "/echo", [](Request request) -> boost::asio::awaitable<Response> { co_return jsonResponse(200, request.body_); });
    return routes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routes)

BOOST_AUTO_TEST_CASE(requests_are_routed_by_path_and_method)
{
    BOOST_TEST(statusOf({}, echoRoutes(), { "POST", "/echo/below", {}, "{}" }) == 200);
    BOOST_TEST(statusOf({}, echoRoutes(), { "GET", "/echo", {}, "" }) == 405);
    BOOST_TEST(statusOf({}, echoRoutes(), { "POST", "/echoes", {}, "" }) == 404);
}

BOOST_AUTO_TEST_CASE(oversized_and_malformed_requests_are_refused)
{
    BOOST_TEST(statusOf({ .bodyBytes_ = 10 }, echoRoutes(), { "POST", "/echo", {}, std::string(11, 'x') }) == 413);
    BOOST_TEST(statusOf({}, echoRoutes(), { "POST", "/with space", {}, "" }) == 400);
}

BOOST_AUTO_TEST_CASE(query_parameters_are_decoded)
{
    Request request { "GET", "/a?x=1&name=a%20b+c&bad=%zz", {}, "" };
    BOOST_TEST(*queryParameter(request, "name") == "a b c");
    BOOST_TEST(*queryParameter(request, "bad") == "%zz");
    BOOST_TEST(!queryParameter(request, "y"));
}

BOOST_AUTO_TEST_SUITE_END()
