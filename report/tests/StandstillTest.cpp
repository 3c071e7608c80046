#include "Lines.h"
#include "persimmondoor/report/Document.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace persimmondoor::report {

BOOST_AUTO_TEST_SUITE(standstills)

static std::string waitLine(int64_t timeMs, const std::string& job, int64_t waitedMs, const std::string& reasons, const std::string& workers = "7 of another service, 4 without the cores, 1 draining")
{
    return lineOf(timeMs, "job.waits", job, concat(waitedMs, " ms; step 0/1 for ", waitedMs, " ms, 3 of 4 tasks waiting; reasons: ", reasons, "; job ready, priority 0; workers: ", workers, "; left out for interference 0; demand 1000 thousandths of a core, 5 bytes, 0 accelerators"));
}

static const std::vector<std::string>& sampleLines()
{
    static const std::vector<std::string> lines {
        lineOf(1'000, "run.start", "00aa/0/0/1#1", "worker w-1, domain north"),
        lineOf(1'500, "run.lost", "00aa/0/0/1#1", "no agent reports it; worker w-1"),
        lineOf(1'600, "run.start", "00ab/0/0/1#1", "worker w-1, domain north"),
        waitLine(2'600, "00aa", 1'100, "2 lists of a silent worker, 1 no suitable worker"),
        waitLine(3'600, "00aa", 2'100, "3 no suitable worker"),
        waitLine(4'600, "00aa", 3'100, "3 no suitable worker"),
        waitLine(4'700, "00ab", 5'100, "1 start ordered", ""),
        lineOf(4'700, "job.waits_omitted", "12 jobs", "the longest of them has had nothing running for 1100 ms"),
        lineOf(5'000, "run.refused", "00aa/0/0/1#2", "worker w-1@10: no room"),
        lineOf(6'000, "run.ended", "00aa/0/0/1#3", "done; worker w-1"),
        lineOf(6'100, "worker.gone", "w-1@5", "crashed"),
    };
    return lines;
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

static Story storyOf(const std::vector<std::string>& lines, const std::string& job)
{
    Story story { job };
    for (const std::string& line : lines)
        story = add(std::move(story), parseLine(line));
    return story;
}

static Cell text(const std::string& value)
{
    return value;
}

BOOST_AUTO_TEST_CASE(line_on_a_job_with_nothing_running_is_read)
{
    Event event = parseEvent(std::get<LogLine>(parseLine(sampleLines()[3])));
    JobWait wait { "00aa", 1'100, { { "lists of a silent worker", 2 }, { "no suitable worker", 1 } }, { { "of another service", 7 }, { "without the cores", 4 }, { "draining", 1 } } };
    BOOST_TEST((event == Event(wait)));
    BOOST_TEST((eventOf("job.waits", "00aa", "soon; reasons: none") == Event(UnreadableEvent { "job.waits" })));
    BOOST_TEST((eventOf("job.waits_omitted", "12 jobs", "") == Event(JobWaitsOmitted { 12 })));
}

// Guards against a reason that names the workers of other services, which can never take the task.
BOOST_AUTO_TEST_CASE(lack_of_a_worker_is_told_with_the_most_frequent_obstacle_of_the_service)
{
    JobWait wait { "00aa", 1'100, { { "no suitable worker", 1 } }, { { "of another service", 7 }, { "without the cores", 4 }, { "draining", 1 } } };
    BOOST_TEST(wait.mainReason() == "no suitable worker: without the cores");
    wait.workers_ = { { "of another service", 7 } };
    BOOST_TEST(wait.mainReason() == "no suitable worker: of another service");
    wait.workers_.clear();
    BOOST_TEST(wait.mainReason() == "no suitable worker");
}

BOOST_AUTO_TEST_CASE(seconds_add_up_by_job_and_reason)
{
    Document document = compose(summaryOf(sampleLines()), 10);
    std::vector<std::vector<Cell>> reasons { { text("no suitable worker: without the cores"), int64_t(2), int64_t(1) }, { text("lists of a silent worker"), int64_t(1), int64_t(1) }, { text("start ordered"), int64_t(1), int64_t(1) } };
    BOOST_TEST((rowsOf(document, "standstills", 0) == reasons));
    std::vector<std::vector<Cell>> jobs { { text("00ab"), 3.7, 3.7, int64_t(5'100), int64_t(1), text("1 start ordered") },
        { text("00aa"), 1.6, 3.6, int64_t(3'100), int64_t(3), text("2 no suitable worker: without the cores, 1 lists of a silent worker") } };
    BOOST_TEST((rowsOf(document, "standstills", 1) == jobs));
    BOOST_TEST(textOf(document).find("left out 12 such lines") != std::string::npos);
    BOOST_TEST(rowsOf(compose(summaryOf(sampleLines()), 1), "standstills", 1).size() == 1U);
}

// Guards against a story that holds lines of other jobs, or in the order of the files.
BOOST_AUTO_TEST_CASE(story_of_a_job_holds_its_lines_in_the_order_of_time)
{
    std::vector<std::string> reversed(sampleLines().rbegin(), sampleLines().rend());
    auto rows = rowsOf(compose(storyOf(reversed, "00aa")), "job", 0);
    BOOST_TEST((rows == rowsOf(compose(storyOf(sampleLines(), "00aa")), "job", 0)));
    std::vector<std::string> events { "run.start", "run.lost", "job.waits", "job.waits", "job.waits", "run.refused", "run.ended" };
    BOOST_REQUIRE(rows.size() == events.size());
    for (size_t row = 0; row < rows.size(); ++row)
        BOOST_TEST((rows[row][2] == text(events[row])));
    BOOST_TEST((rows[0][0] == Cell(0.0)));
    BOOST_TEST((rows[2][4] == text("lists of a silent worker")));
    BOOST_TEST((rows[3][4] == text("no suitable worker: without the cores")));
    BOOST_TEST((rows[6][4] == text("")));
}

// Guards against a report that fails on a job without a line.
BOOST_AUTO_TEST_CASE(empty_story_is_rendered)
{
    Document document = compose(storyOf({}, "00aa"));
    BOOST_TEST(!textOf(document).empty());
    BOOST_TEST(!htmlOf(document).empty());
    BOOST_TEST(!jsonOf(document).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::report
