#include "FillingWorld.h"
#include "persimmondoor/app/Main.h"
#include "persimmondoor/report/Event.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace persimmondoor::app {

BOOST_AUTO_TEST_SUITE(report_command)

static report::Event readBack(const std::string& event, const std::string& detail)
{
    return report::parseEvent({ 1, "entry", event, { { "subject", "00000000000000aa/0/0/0" }, { "detail", detail } } });
}

// Guards against log lines of the leader that the report no longer reads.
BOOST_AUTO_TEST_CASE(lines_of_the_leader_are_read)
{
    workflow::FillingWorld world;
    world.submit({ workflow::fillingStep(9, "heavy") }, 200, workflow::fillingJob);
    world.handle(workflow::Tick { 1'000'200 }, 201);
    BOOST_REQUIRE(!world.logged("queues.backlog").empty());
    report::Event backlog = readBack("queues.backlog", world.logged("queues.backlog").front());
    BOOST_REQUIRE(std::holds_alternative<report::Backlog>(backlog));
    BOOST_TEST(std::get<report::Backlog>(backlog).withInterference_ == 6);
    BOOST_TEST(std::get<report::Backlog>(backlog).unused_.at("with room") == 3450);
    BOOST_REQUIRE(!world.logged("run.start").empty());
    BOOST_TEST(std::get<report::RunStarted>(readBack("run.start", world.logged("run.start").front())).domain_ == "north");

    workflow::LeaderWorld other;
    other.submit({ workflow::stepOfTasks(3) }, 0);
    workflow::Step large = workflow::longRunningStep("search");
    large.demand_ = *Resources::create(1'000'000, 1, 0);
    other.submit({ large }, 10, workflow::rankingJob);
    other.commit(20);
    other.report("w-1", 30);
    other.handle(workflow::Tick { 1'000'100 }, 100);
    other.report("w-1", 1600);
    other.handle(workflow::Tick { 1'001'700 }, 1700);
    BOOST_REQUIRE(!other.logged("task.waits").empty());
    BOOST_TEST(std::get<report::LongRunningWait>(readBack("task.waits", other.logged("task.waits").front())).workers_.size() == 1U);
}

// Guards against lines on jobs with nothing running that the report no longer reads.
BOOST_AUTO_TEST_CASE(lines_of_the_leader_on_jobs_with_nothing_running_are_read)
{
    workflow::LeaderWorld world;
    workflow::Step step = workflow::stepOfTasks(2);
    step.demand_ = *Resources::create(5000, 1, 0);
    for (int64_t job = 10; job < 31; ++job)
        world.submit({ step }, 0, "00000000000000" + std::to_string(job));
    for (int64_t time = 100; time <= 1500; time += 200) {
        world.report("w-1", time);
        world.handle(workflow::Tick { 1'000'000 + time }, time);
    }
    BOOST_REQUIRE(!world.logged("job.waits").empty());
    report::Event event = readBack("job.waits", world.logged("job.waits").front());
    BOOST_REQUIRE(std::holds_alternative<report::JobWait>(event));
    const auto& wait = std::get<report::JobWait>(event);
    BOOST_TEST(wait.waitedMs_ == 1200);
    BOOST_TEST((wait.reasons_ == report::AmountsByReason { { "no suitable worker", 2 } }));
    BOOST_TEST(wait.mainReason() == "no suitable worker: without the cores");
    BOOST_TEST(world.logged("job.waits_omitted").size() == 1U);
}

namespace {

    // A file of the test's own that is removed after it.
    class ScratchFile {
    public:
        explicit ScratchFile(const std::string& text)
            : path_(std::filesystem::temp_directory_path() / ("report-test-" + std::to_string(getpid())))
        {
            std::ofstream(path_) << text;
        }
        ~ScratchFile() { std::filesystem::remove(path_); }
        ScratchFile(const ScratchFile&) = delete;
        ScratchFile& operator=(const ScratchFile&) = delete;
        std::string path() const { return path_.string(); }

    private:
        std::filesystem::path path_;
    };

} // namespace

static int runCommand(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { "persimmondoor", "report" });
    std::vector<char*> pointers;
    pointers.reserve(arguments.size());
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    return runProgram(static_cast<int>(pointers.size()), pointers.data());
}

BOOST_AUTO_TEST_CASE(exit_codes_tell_wrong_flags_from_files_that_cannot_be_read)
{
    ScratchFile noise("nothing of ours\n");
    BOOST_TEST(runCommand({}) == Usage);
    BOOST_TEST(runCommand({ noise.path(), "--format", "pdf" }) == Usage);
    BOOST_TEST(runCommand({ noise.path(), "--unknown" }) == Usage);
    BOOST_TEST(runCommand({ "/nonexistent/log" }) == Failure);
    BOOST_TEST(runCommand({ "/" }) == Failure);
    BOOST_TEST(runCommand({ noise.path() }) == Failure);
}

BOOST_AUTO_TEST_CASE(report_is_written_to_the_named_file)
{
    ScratchFile log("noise\n 1.5 host {\"time_ms\":1000,\"process\":\"e\",\"event\":\"job.refused\",\"subject\":\"a\",\"detail\":\"no room\"}\n");
    std::string output = log.path() + ".html";
    BOOST_TEST(runCommand({ log.path(), "--format", "html", "--output", output }) == Success);
    std::ostringstream page;
    page << std::ifstream(output).rdbuf();
    std::filesystem::remove(output);
    BOOST_TEST(page.str().find("no room") != std::string::npos);
    BOOST_TEST(runCommand({ log.path(), "--output", "/nonexistent/page" }) == Failure);
}

BOOST_AUTO_TEST_CASE(story_of_one_job_is_written_or_missed)
{
    ScratchFile log("{\"time_ms\":1000,\"process\":\"e\",\"event\":\"run.start\",\"subject\":\"00aa/0/0/0#1\",\"detail\":\"worker w-1, domain north\"}\n");
    std::string output = log.path() + ".txt";
    BOOST_TEST(runCommand({ log.path(), "--job", "00aa", "--output", output }) == Success);
    std::ostringstream page;
    page << std::ifstream(output).rdbuf();
    std::filesystem::remove(output);
    BOOST_TEST(page.str().find("00aa/0/0/0#1") != std::string::npos);
    BOOST_TEST(runCommand({ log.path(), "--job", "00ab", "--output", output }) == Failure);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::app
