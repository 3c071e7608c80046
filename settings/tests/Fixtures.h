// Fixtures of the tests of the settings.
#pragma once

#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/settings/Store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

namespace persimmondoor::settings::fixtures {

inline const std::string validTeam = R"({"services":{"packs":{"tier":"paying","deadline_ms":500}},"quota":{"cores":8,"memory_gb":16,"accelerators":0}})";
inline const std::string slowerTeam = R"({"services":{"packs":{"tier":"paying","deadline_ms":900}},"quota":{"cores":8,"memory_gb":16,"accelerators":0}})";
inline const SubtreeName team = SubtreeName::of("lankacell");
inline const SubtreeName operatorsName = SubtreeName::of(std::string(operatorsSubtree));

inline Subtree subtree(const std::string& name, uint64_t revision, const std::string& text = validTeam)
{
    return { SubtreeName::of(name), Revision(revision), text, WriteId::of("w" + std::to_string(revision)), OperatorName::of("amara"), 1000 };
}

inline WriteRequest change(uint64_t expected, const std::string& writeId, const std::string& text = validTeam)
{
    return { team, text, Revision(expected), WriteId::of(writeId), "", false };
}

// Runs `body` on `context` until it ends and returns its result. Fails the test after 20 s.
template <typename Result>
Result runToEnd(boost::asio::io_context& context, boost::asio::awaitable<Result> body)
{
    std::optional<Result> result;
    boost::asio::co_spawn(context, std::move(body), [&](const std::exception_ptr& error, Result value) {
        BOOST_REQUIRE(!error);
        result = std::move(value);
        context.stop();
    });
    context.restart();
    context.run_for(std::chrono::seconds(20));
    BOOST_REQUIRE(result.has_value());
    return *std::move(result);
}

} // namespace persimmondoor::settings::fixtures
