#include "Metrics.h"
#include "Rows.h"
#include "persimmondoor/burn/Report.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::burn;

namespace {

const ServiceName packs = ServiceName::of("packs");
constexpr Minute start(29'000'000);
constexpr Duration fast = std::chrono::milliseconds(10);
constexpr Duration slow = std::chrono::milliseconds(900);

Levels defined()
{
    ServiceObjective objective { packs, Tier::Paying, 0.99, std::chrono::milliseconds(500), std::chrono::hours(720) };
    return decide(Levels(), TeamDefined { TeamName::of("lankacell"), { objective } }, start);
}

Levels observe(Levels levels, int good, int bad, Minute minute)
{
    for (int index = 0; index < good; ++index)
        levels = decide(std::move(levels), Observed { packs, fast, true }, minute);
    for (int index = 0; index < bad; ++index)
        levels = decide(std::move(levels), Observed { packs, index % 2 ? fast : slow, index % 2 == 0 }, minute);
    return levels;
}

Minute after(uint64_t minutes)
{
    return Minute(start.value() + minutes);
}

ServiceReport reportAt(const Levels& levels, Minute minute)
{
    return makeReport(levels, minute, {}).services_.at(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(levels)

BOOST_AUTO_TEST_CASE(slow_and_failed_requests_burn_the_budget)
{
    ServiceReport report = reportAt(observe(defined(), 98, 2, start), start);
    BOOST_TEST(report.figures_[0].count_.total_ == 100U);
    BOOST_TEST(report.figures_[0].count_.good_ == 98U);
    BOOST_TEST(report.figures_[0].burnRate_ == 2.0, boost::test_tools::tolerance(1e-9));
    // Three of thirty days at rate 2 spend a fifth of the budget.
    BOOST_TEST(report.budgetLeft_ == 0.8, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(counts_expire_at_the_end_of_each_window)
{
    Levels levels = observe(defined(), 0, 4, start);
    BOOST_TEST(reportAt(levels, after(4)).figures_[0].count_.total_ == 4U);
    BOOST_TEST(reportAt(levels, after(5)).figures_[0].count_.total_ == 0U);
    BOOST_TEST(reportAt(levels, after(59)).figures_[2].count_.total_ == 4U);
    BOOST_TEST(reportAt(levels, after(60)).figures_[2].count_.total_ == 0U);
    BOOST_TEST(reportAt(levels, after(4319)).figures_[4].count_.total_ == 4U);
    BOOST_TEST(reportAt(levels, after(4350)).figures_[4].count_.total_ == 0U);
}

BOOST_AUTO_TEST_CASE(page_needs_both_windows)
{
    Levels levels = observe(defined(), 0, 20, start);
    BOOST_TEST((reportAt(levels, start).alert_ == Alert::Page));
    // Forty minutes later the windows of 5 and 30 minutes have recovered.
    Levels recovered = observe(levels, 2000, 0, after(40));
    ServiceReport report = reportAt(recovered, after(40));
    BOOST_TEST((report.alert_ != Alert::Page));
    BOOST_TEST((reportAt(observe(defined(), 100, 0, start), start).alert_ == Alert::None));
}

BOOST_AUTO_TEST_CASE(clock_set_back_does_not_move_time_back)
{
    Levels levels = observe(defined(), 1, 0, after(10));
    levels = observe(std::move(levels), 1, 0, after(2));
    BOOST_TEST(reportAt(levels, after(10)).figures_[0].count_.total_ == 2U);
}

BOOST_AUTO_TEST_CASE(state_is_bounded_and_unknown_services_are_not_counted)
{
    Levels levels = defined();
    for (uint64_t minute = 0; minute < 10'000; ++minute)
        levels = observe(std::move(levels), 1, 0, after(minute));
    BOOST_TEST(levels.counts().at(packs).minutes().size() == minutesKept);
    BOOST_TEST(levels.counts().at(packs).halfHours().size() == halfHoursKept);
    levels = decide(std::move(levels), Observed { ServiceName::of("other"), fast, true }, after(10'000));
    BOOST_TEST(levels.counts().size() == 1U);
    levels = decide(std::move(levels), TeamDefined { TeamName::of("lankacell"), {} }, after(10'000));
    BOOST_TEST(levels.counts().empty());
}

BOOST_AUTO_TEST_CASE(saved_counts_are_restored_and_malformed_rows_are_ignored)
{
    Levels levels = observe(defined(), 7, 3, after(1));
    store::Row row { rowKey(ProcessName::of("entry-1"), after(1)), encodeRow(levels, after(1)), store::RowVersion(1) };
    SavedRow saved = decodeRow(row);
    BOOST_REQUIRE(saved.counts_.size() == 1U);
    Levels restored = decide(defined(), saved.counts_.at(0), after(2));
    BOOST_TEST((reportAt(restored, after(2)).figures_[0].count_ == Count { 10, 7 }));
    BOOST_TEST(decodeRow({ "burn/e/1", "[[[", store::RowVersion(1) }).counts_.empty());
    BOOST_TEST(decodeRow({ "burn/e/1", R"({"services":{"packs":[[1,2,3],7]}})", store::RowVersion(1) }).counts_.empty());
}

BOOST_AUTO_TEST_CASE(texts_show_tier_alert_and_missing_figures)
{
    BurnReport report = makeReport(observe(defined(), 0, 20, start), start, { "entry-2 has saved no counts" });
    for (const std::string& text : { textOf(report), jsonOf(report), htmlOf(report) }) {
        for (const char* part : { "paying", "lankacell", "packs", "page", "entry-2 has saved no counts" })
            BOOST_TEST(text.find(part) != std::string::npos, part);
    }
    std::string page = htmlOf(report);
    BOOST_TEST(page.find("<svg") != std::string::npos);
    BOOST_TEST(page.find("http") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(metrics_hold_counts_and_quantiles)
{
    Metrics metrics;
    for (int index = 1; index <= 1000; ++index)
        metrics.add(packs, "done", std::chrono::milliseconds(index));
    std::string text = metrics.text();
    BOOST_TEST(text.find("persimmondoor_request_seconds_count{service=\"packs\",outcome=\"done\"} 1000") != std::string::npos);
    BOOST_TEST(metrics.json().find("\"count\":1000") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
