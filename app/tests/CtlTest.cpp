#include "ctl/Ctl.h"
#include "ctl/SettingsEdit.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace persimmondoor::app;
using namespace persimmondoor::app::ctl;

BOOST_AUTO_TEST_SUITE(command_line)

BOOST_AUTO_TEST_CASE(wrong_use_exits_with_usage)
{
    BOOST_TEST(runCtl({}) == Usage);
    BOOST_TEST(runCtl({ "no-such-verb" }) == Usage);
    BOOST_TEST(runCtl({ "workers", "--no-such-flag" }) == Usage);
    BOOST_TEST(runCtl({ "workers" }) == Usage);
    BOOST_TEST(runCtl({ "workers", "--entry", "nowhere" }) == Usage);
    BOOST_TEST(runCtl({ "settings", "no-such-subcommand", "--entry", "127.0.0.1:1" }) == Usage);
}

BOOST_AUTO_TEST_CASE(unreachable_entries_exit_with_unreachable)
{
    BOOST_TEST(runCtl({ "workers", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2" }) == Unreachable);
    BOOST_TEST(runCtl({ "status", "--entry", "127.0.0.1:1", "--json" }) == Unreachable);
}

BOOST_AUTO_TEST_CASE(help_and_completion_need_no_entry)
{
    BOOST_TEST(runCtl({ "help" }) == Success);
    BOOST_TEST(runCtl({ "workers", "--help" }) == Success);
    BOOST_TEST(runCtl({ "completion", "bash" }) == Success);
    BOOST_TEST(runCtl({ "completion", "fish" }) == Usage);
}

BOOST_AUTO_TEST_CASE(verbs_have_distinct_names_and_summaries)
{
    std::set<std::string> names;
    for (const Verb& verb : verbs()) {
        BOOST_TEST(names.insert(verb.name_).second);
        BOOST_TEST(!verb.summary_.empty());
        BOOST_TEST(verb.run_ != nullptr);
    }
}

BOOST_AUTO_TEST_CASE(assignments_edit_a_subtree)
{
    auto edited = applyAssignments(R"({"services":{"packs":{"tier":"trial"}},"old":1})", { "services.packs.tier=paying", "services.packs.deadline_ms=700", "old=" });
    BOOST_REQUIRE(edited.ok());
    BOOST_TEST(*edited == R"({"services":{"packs":{"tier":"paying","deadline_ms":700}}})");
    BOOST_TEST(!applyAssignments("{}", { "no-equals-sign" }).ok());
    BOOST_TEST(!applyAssignments(R"({"a":1})", { "a.b=2" }).ok());
    BOOST_TEST(!applyAssignments("{}", { "a..b=2" }).ok());
}

BOOST_AUTO_TEST_SUITE_END()
