#include "ctl/Ctl.h"
#include "StoreStandin.h"
#include "ctl/SettingsEdit.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>
#include <unistd.h>

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

BOOST_AUTO_TEST_CASE(check_reads_a_file_and_needs_no_entry)
{
    auto path = std::filesystem::temp_directory_path() / ("persimmondoor-check-" + std::to_string(getpid()) + ".json");
    auto checked = [&](const std::string& text) {
        std::ofstream(path) << text;
        return runCtl({ "check", "--file", path.string(), "--json" });
    };
    boost::asio::io_context context;
    auto store = *persimmondoor::platform::StoreStandin::start(context.get_executor(), *persimmondoor::Address::parse("127.0.0.1:0"));
    store->configure("host.example", "/tests/", "packs");
    std::string sound = store->read("op", "config");
    BOOST_TEST(checked(sound) == Success);
    BOOST_TEST(checked(sound.replace(sound.rfind("packs"), 5, "other")) == Usage);
    BOOST_TEST(checked(R"({"version":7,"routes":[{"name":"r"}],"services":[]})") == Usage);
    BOOST_TEST(checked("not JSON") == Usage);
    BOOST_TEST(runCtl({ "check", "--file", path.string(), "--store", "nowhere" }) == Usage);
    std::ofstream(path) << R"({"version":7,"routes":[],"services":[]})";
    BOOST_TEST(runCtl({ "check", "--file", path.string(), "--store", "127.0.0.1:1" }) == Unreachable);
    std::filesystem::remove(path);
    BOOST_TEST(runCtl({ "check", "--file", path.string() }) == Usage);
    BOOST_TEST(runCtl({ "check" }) == Usage);
}

BOOST_AUTO_TEST_CASE(check_compares_with_the_configuration_in_force)
{
    // The verb runs a loop of its own, so that the stand-in needs a thread.
    boost::asio::io_context context;
    auto store = *persimmondoor::platform::StoreStandin::start(context.get_executor(), *persimmondoor::Address::parse("127.0.0.1:0"));
    store->put("op", "config", R"({"version":7,"routes":[],"services":[]})");
    std::jthread serving([&] { context.run(); });
    auto path = std::filesystem::temp_directory_path() / ("persimmondoor-in-force-" + std::to_string(getpid()) + ".json");
    auto checked = [&](int version) {
        std::ofstream(path) << "{\"version\":" << version << R"(,"routes":[],"services":[{"name":"s","spare":true}]})";
        return runCtl({ "check", "--file", path.string(), "--store", store->address().text(), "--json" });
    };
    BOOST_TEST(checked(8) == Success);
    BOOST_TEST(checked(7) == Usage);
    std::filesystem::remove(path);
    context.stop();
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
