#include "persimmondoor/workflow/Record.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::workflow {

BOOST_AUTO_TEST_SUITE(workflow_record)

BOOST_AUTO_TEST_CASE(record_and_progress_survive_their_encoding)
{
    Step step;
    step.count_ = 3;
    step.demand_ = *Resources::create(960, 1'900'000'000, 1);
    step.estimate_ = std::chrono::milliseconds(800);
    step.isFilling_ = true;
    step.image_ = "encoder";
    Step last = step;
    last.dependencies_ = { 0 };
    last.longRunning_ = true;
    last.targetTailMs_ = 18;
    JobRecord record { JobId::of("00000000000000aa"), { "tests", "h.example", "/tests/", "packs", 2, 4, 1.5, std::chrono::milliseconds(250), std::chrono::seconds(3) }, 1234, *JobSpec::create("payload", { step, last }, { 2, 5000, 100 }) };
    auto decoded = decodeRecord(encodeRecord(record));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == record));
    Progress progress { false, true, true, { { TaskPhase::Assigned, 3, 1, { "w-1", 99 }, "ck" }, { TaskPhase::Done, 1, 0, {}, "" }, { TaskPhase::Waiting, 0, 0, {}, "" } } };
    auto read = decodeProgress(encodeProgress(progress));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == progress));
    progress.tasks_[2].crashes_ = 2;
    progress.tasks_[2].unconfirmedCrashes_ = 1;
    progress.tasks_[1].crashSeries_ = { 3, 1, 1500 };
    read = decodeProgress(encodeProgress(progress));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == progress));
    // As written by versions that count no unconfirmed starts.
    read = decodeProgress(R"({"cancelled":false,"failed":false,"started":false,"workers":[],"tasks":[[0,0,0]],"crashes":[[0,1]]})");
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(read->tasks_[0].crashes_ == 1U);
    BOOST_TEST(read->tasks_[0].unconfirmedCrashes_ == 0U);
}

// Guards against a job whose checkpoints grow beyond what a row takes, so that no later write of its leader succeeds.
BOOST_AUTO_TEST_CASE(progress_beyond_the_limit_is_stored_without_checkpoints)
{
    Progress progress { false, false, true, { { TaskPhase::Assigned, 3, 1, { "w-1", 99 }, std::string(300, 'c') }, { TaskPhase::Waiting, 2, 0, {}, std::string(300, 'd') } } };
    std::string whole = encodeProgress(progress);
    BOOST_TEST(encodeProgressWithin(whole.size(), progress) == whole);
    std::string cut = encodeProgressWithin(whole.size() - 1, progress);
    BOOST_TEST(cut.size() < 300U);
    for (TaskProgress& task : progress.tasks_)
        task.checkpoint_.clear();
    auto read = decodeProgress(cut);
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == progress));
}

BOOST_AUTO_TEST_CASE(unreadable_rows_are_errors)
{
    BOOST_TEST(!decodeRecord("{").ok());
    BOOST_TEST(!decodeRecord("{}").ok());
    BOOST_TEST(!decodeProgress(R"({"cancelled":1})").ok());
    BOOST_TEST(!decodeProgress(R"({"cancelled":false,"failed":false,"started":false,"workers":[],"tasks":[[7,0,0]]})").ok());
    BOOST_TEST(!decodeProgress(R"({"cancelled":false,"failed":false,"started":false,"workers":[],"tasks":[[0,0,0]],"crashes":[[1,1]]})").ok());
    BOOST_TEST(!decodeProgress(R"({"cancelled":false,"failed":false,"started":false,"workers":[],"tasks":[[0,0,0]],"crash_series":[[0,1]]})").ok());
    BOOST_TEST(!decodeSpec(R"({"payload":"","steps":[]})").ok());
}

BOOST_AUTO_TEST_CASE(interference_estimates_survive_their_encoding)
{
    Interference estimates;
    estimates.sensitivities_["search"] = { 4, { { "heavy", 0.9 }, { "light", 0.05 } }, { 0.01, 0, 0, 0.02 } };
    estimates.sensitivities_["ranking"] = { 7, {}, {} };
    auto read = decodeInterference(encodeInterference(estimates));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == estimates));
    BOOST_TEST((*decodeInterference(encodeInterference({})) == Interference()));
    for (const char* bad : { "", "[]", "{\"a\":1}", "{\"a\":[4]}", "{\"a\":[4,{\"b\":[1]}]}", "{\"a\":[\"x\",{}]}" })
        BOOST_TEST(!decodeInterference(bad).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
