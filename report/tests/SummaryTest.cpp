#include "Lines.h"
#include "persimmondoor/report/Document.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace persimmondoor::report {

BOOST_AUTO_TEST_SUITE(summary)

static std::string jobLine(int64_t timeMs, int64_t tasks, int64_t placement, const std::string& queue)
{
    return lineOf(timeMs, "job.ended", concat("job-", tasks), concat("completed; placement ", placement, " ms, write 10, startup 10, work 80, slowed 0, repeated 0; queue ", queue, ", ", tasks, " tasks, domain north"));
}

static std::string backlogLine(int64_t timeMs, int64_t withInterference)
{
    return lineOf(timeMs, "queues.backlog", "1 jobs", concat("on time 1, late 0, worthless 0; tasks waiting for capacity 0, for a worker without interference ", withInterference, "; filling cores, in thousandths: 1000 assigned, 500 at work, 2000 spare; held: 0 rooms, 0 thousandths of a core; widest demand: 1 tasks, 100 thousandths of a core; cores that they leave unused: 2000 with room"));
}

static const std::vector<std::string>& sampleLines()
{
    static const std::vector<std::string> lines {
        lineOf(1'000, "worker.quarantined", "w-1", "for 2500 ms; failures"),
        lineOf(1'200, "worker.unreachable", "w-2@5", "the list request failed"),
        backlogLine(2'100, 7),
        backlogLine(2'900, 9),
        lineOf(3'100, "worker.reached", "w-2@5", "3 runs"),
        lineOf(3'200, "worker.gone", "w-3@5", "crashed"),
        jobLine(3'300, 4, 100, "a"),
        jobLine(3'400, 8, 300, "b"),
        jobLine(4'000, 16, 500, "b"),
        jobLine(4'500, 32, 700, "b"),
        lineOf(4'600, "worker.seen", "w-4@5", "agent w-4, domain north"),
    };
    return lines;
}

// Guards against figures that depend on the order in which the logs of several processes are read.
BOOST_AUTO_TEST_CASE(order_of_the_lines_does_not_matter)
{
    std::vector<std::string> reversed(sampleLines().rbegin(), sampleLines().rend());
    BOOST_TEST((compose(summaryOf(sampleLines()), 10) == compose(summaryOf(reversed), 10)));
}

BOOST_AUTO_TEST_CASE(workers_are_out_of_use_until_they_are_back)
{
    auto out = workersOut(summaryOf(sampleLines()));
    BOOST_TEST((out.at(1) == WorkersOut { 1, 1, 0 }));
    BOOST_TEST((out.at(2) == WorkersOut { 1, 1, 0 }));
    // The quarantine ends at 3.5 s.
    BOOST_TEST((out.at(3) == WorkersOut { 0, 0, 1 }));
}

// Guards against quarantines of a former leader that its successor does not know.
BOOST_AUTO_TEST_CASE(change_of_the_leader_ends_quarantines)
{
    std::vector<std::string> lines = sampleLines();
    lines.push_back(lineOf(1'500, "queues.loaded", "", ""));
    BOOST_TEST((workersOut(summaryOf(lines)).at(1) == WorkersOut { 0, 1, 0 }));
}

BOOST_AUTO_TEST_CASE(last_backlog_of_a_second_counts)
{
    Summary summary = summaryOf(sampleLines());
    BOOST_TEST(summary.seconds_.at(2).backlog_->withInterference_ == 9);
}

static std::vector<std::vector<Cell>> rowsOf(const Document& document, const std::string& name, size_t number)
{
    for (const Section& section : document.sections_) {
        for (const Block& block : section.blocks_) {
            const auto* table = std::get_if<Table>(&block);
            if (section.name_ == name && table && number-- == 0)
                return table->rows_;
        }
    }
    return {};
}

BOOST_AUTO_TEST_CASE(time_is_told_by_queue_size_and_domain)
{
    auto rows = rowsOf(compose(summaryOf(sampleLines()), 10), "jobs", 0);
    auto row = [&](const std::string& group, const std::string& value) {
        return *std::find_if(rows.begin(), rows.end(), [&](const auto& cells) { return cells[0] == Cell(group) && cells[1] == Cell(value); });
    };
    // Columns: group, value, jobs, tasks, mean, placement.
    BOOST_TEST((row("all", "")[5] == Cell(int64_t(400))));
    BOOST_TEST((row("queue", "b")[5] == Cell(int64_t(500))));
    BOOST_TEST((row("queue", "b")[3] == Cell(int64_t(56))));
    BOOST_TEST((row("domain", "north")[2] == Cell(int64_t(4))));
    BOOST_TEST((row("size", "4 tasks")[5] == Cell(int64_t(100))));
    BOOST_TEST((row("size", "17 to 32 tasks")[5] == Cell(int64_t(700))));
}

BOOST_AUTO_TEST_CASE(single_jobs_are_bounded_and_ordered_by_their_wait)
{
    auto rows = rowsOf(compose(summaryOf(sampleLines()), 2), "single_jobs", 0);
    BOOST_REQUIRE(rows.size() == 2U);
    BOOST_TEST((rows[0][1] == Cell(std::string("job-32"))));
    BOOST_TEST((rows[1][1] == Cell(std::string("job-16"))));
}

BOOST_AUTO_TEST_CASE(skipped_lines_are_counted)
{
    Summary summary = summaryOf({ "noise", lineOf(1, "job.ended", "a", "x").substr(0, 30), lineOf(2, "task.waits", "a", "x"), lineOf(3, "unknown", "", "") });
    BOOST_TEST((summary.lines_ == LineCounts { 4, 1, 1, 1, 1, 0 }));
}

// Guards against a name in a log that becomes markup in the page, or controls a terminal.
BOOST_AUTO_TEST_CASE(names_cannot_become_markup_or_control_a_terminal)
{
    Document document = compose(summaryOf({ jobLine(1, 1, 1, "<script>x"), lineOf(2, "job.refused", "a", "\\u001b[2J") }), 10);
    BOOST_TEST(htmlOf(document).find("<script>") == std::string::npos);
    BOOST_TEST(htmlOf(document).find("&lt;script&gt;x") != std::string::npos);
    BOOST_TEST(textOf(document).find('\x1b') == std::string::npos);
}

BOOST_AUTO_TEST_CASE(all_formats_hold_the_same_figures)
{
    Document document = compose(summaryOf(sampleLines()), 10);
    BOOST_TEST(textOf(document).find("17 to 32 tasks") != std::string::npos);
    BOOST_TEST(jsonOf(document).find("\"value\":\"17 to 32 tasks\"") != std::string::npos);
    BOOST_TEST(htmlOf(document).find("<td>17 to 32 tasks</td>") != std::string::npos);
    BOOST_TEST(htmlOf(document).find("<svg") != std::string::npos);
}

// Guards against a report that fails on a log without a figure.
BOOST_AUTO_TEST_CASE(empty_summary_is_rendered)
{
    Document document = compose(Summary(), 10);
    BOOST_TEST(!textOf(document).empty());
    BOOST_TEST(!htmlOf(document).empty());
    BOOST_TEST(!jsonOf(document).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::report
