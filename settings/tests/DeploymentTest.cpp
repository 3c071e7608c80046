#include "persimmondoor/settings/Deployment.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::settings {

static const std::string good = R"({"name":"front-1","domain":"north","domains":["north","south"],"host":"10.1.0.1","internal_port":7720,"clients":"10.1.0.1:80","seeds":["10.1.0.2:81"],"store":"10.2.0.1:82","bounds":{"shutdown_ms":6000,"longest_lease_ms":10000},"limits":{"memory_mb":160,"descriptors":4100}})";

BOOST_AUTO_TEST_SUITE(deployment)

BOOST_AUTO_TEST_CASE(file_is_read)
{
    auto deployment = parseDeployment(good);
    BOOST_REQUIRE(deployment.ok());
    BOOST_TEST(deployment->domains_.size() == 2U);
    BOOST_TEST(deployment->clients_->text() == "10.1.0.1:80");
    BOOST_TEST(!deployment->workers_.has_value());
    BOOST_TEST(deployment->bounds_.shutdown_.count() == 6'000'000);
    BOOST_TEST(deployment->limits_.memoryBytes_ == 160'000'000U);
    BOOST_TEST(deployment->limits_.descriptors_ == 4100U);
}

static absl::StatusOr<Deployment> withBounds(const std::string& bounds)
{
    std::string text = good;
    text.replace(text.find(R"("shutdown_ms")"), 0, bounds);
    return parseDeployment(text);
}

// Guards against waits for near places where a deployment does not state what distance costs.
BOOST_AUTO_TEST_CASE(cost_of_distance_is_read_and_checked)
{
    BOOST_TEST(parseDeployment(good)->bounds_.farFactor_ == 1);
    BOOST_TEST(withBounds(R"("far_factor":1.5,)")->bounds_.farFactor_ == 1.5);
    auto shorter = withBounds(R"("far_factor":0.5,)");
    BOOST_REQUIRE(!shorter.ok());
    BOOST_TEST(shorter.status().message().find("far_factor") != std::string::npos);
}

// Guards against workers that are told slow where a deployment does not ask for it.
BOOST_AUTO_TEST_CASE(slowdown_of_slow_workers_is_read_and_checked)
{
    BOOST_TEST(parseDeployment(good)->bounds_.slowFactor_ == 0);
    BOOST_TEST(withBounds(R"("slow_factor":2.5,)")->bounds_.slowFactor_ == 2.5);
    auto smaller = withBounds(R"("slow_factor":1.2,)");
    BOOST_REQUIRE(!smaller.ok());
    BOOST_TEST(smaller.status().message().find("slow_factor") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_fault_is_named)
{
    auto deployment = parseDeployment(R"({"name":"front 1","domain":"north","domains":[],"host":"10.1.0.1","internal_port":0,"seeds":["x"],"bounds":{},"extra":1})");
    BOOST_REQUIRE(!deployment.ok());
    std::string message(deployment.status().message());
    for (const char* path : { "name", "internal_port", "seeds", "store", "extra" })
        BOOST_TEST(message.find(path) != std::string::npos, path);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::settings
