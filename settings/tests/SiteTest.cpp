#include "persimmondoor/settings/Site.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::settings;

BOOST_AUTO_TEST_SUITE(site)

BOOST_AUTO_TEST_CASE(all_faults_are_named_at_once_with_their_paths)
{
    auto site = parseSite(R"({"cell": 7, "platform": "nowhere", "entries": [{"name": "e", "domain": "a", "http": "127.0.0.1:1", "operators": "127.0.0.1:2", "rpc": "127.0.0.1:70000"}],
        "workers": [], "teams": {"t": {"services": {"s": {"tier": "gold", "deadline_ms": 0}}, "quota": {"cores": 1, "memory_gb": 1, "accelerators": 0}}}, "extra": 1})");
    BOOST_REQUIRE(!site.ok());
    std::string message(site.status().message());
    for (const char* expected : { "extra: unknown key", "cell: must be a string", "platform: 'nowhere' is not ip:port", "entries[0].rpc: '127.0.0.1:70000' is not ip:port",
             "teams.t.services.s.tier: must be \"paying\" or \"trial\"", "teams.t.services.s.deadline_ms: must be from 1 to 600000" })
        BOOST_TEST(message.find(expected) != std::string::npos, "missing: " << expected << " in " << message);
}

BOOST_AUTO_TEST_CASE(text_that_is_no_json_is_refused)
{
    BOOST_TEST(!parseSite("{").ok());
    BOOST_TEST(!parseSite(std::string(100'000, '[')).ok());
}

BOOST_AUTO_TEST_SUITE_END()
