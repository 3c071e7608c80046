#include "Lines.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace persimmondoor::report {

BOOST_AUTO_TEST_SUITE(lines)

BOOST_AUTO_TEST_CASE(line_is_read_with_and_without_a_prefix)
{
    std::string line = lineOf(1700000000123, "job.taken", "00aa", "queue q");
    auto plain = parseLine(line);
    BOOST_REQUIRE(std::holds_alternative<LogLine>(plain));
    BOOST_TEST(std::get<LogLine>(plain).timeMs_ == 1700000000123);
    BOOST_TEST(std::get<LogLine>(plain).event_ == "job.taken");
    BOOST_TEST(std::get<LogLine>(plain).field("subject") == "00aa");
    BOOST_TEST(std::get<LogLine>(plain).field("none").empty());
    BOOST_TEST((parseLine("  30.4691 host-1 " + line + " \r") == plain));
}

// Guards against a report that ends, or counts nonsense, at the first line of another program.
BOOST_AUTO_TEST_CASE(other_lines_are_told_from_cut_ones)
{
    std::string line = lineOf(1000, "job.taken", "00aa", "queue q");
    for (const std::string& foreign : { std::string(), std::string("starting"), std::string("{\"a\":1}"), std::string("\0\xff\x1b[2J{", 7), std::string("{\"time_ms\":\"x\",\"process\":\"p\",\"event\":\"e\"}"), std::string("{\"time_ms\":1.5,\"process\":\"p\",\"event\":\"e\"}"), std::string("{\"time_ms\":1,\"process\":\"p\"}") })
        BOOST_TEST(std::holds_alternative<ForeignLine>(parseLine(foreign)), foreign);
    for (size_t length = 11; length < line.size(); ++length)
        BOOST_TEST(std::holds_alternative<CutLine>(parseLine(line.substr(0, length))), length);
    BOOST_TEST(std::holds_alternative<CutLine>(parseLine("{\"time_ms\":" + std::string(5000, '['))));
}

// Guards against memory that grows with a line that has no end.
BOOST_AUTO_TEST_CASE(endless_line_is_skipped_and_the_next_one_is_read)
{
    std::istringstream stream(std::string(1'000'000, 'x') + lineOf(1, "a", "", "") + "\n" + lineOf(2, "b", "", "") + "\n" + lineOf(3, "c", "", ""));
    LineReader reader(stream);
    BOOST_TEST(std::holds_alternative<ForeignLine>(*reader.next()));
    BOOST_TEST(std::get<LogLine>(*reader.next()).event_ == "b");
    BOOST_TEST(std::get<LogLine>(*reader.next()).event_ == "c");
    BOOST_TEST(!reader.next());
    BOOST_TEST(!reader.hasFailed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::report
