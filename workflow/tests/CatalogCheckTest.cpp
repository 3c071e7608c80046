#include "persimmondoor/workflow/CatalogCheck.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace persimmondoor::workflow {

static Queue queueAt(const std::string& prefix)
{
    return { prefix, "host.example", prefix, "packs", 0, 3, 1.5, std::chrono::milliseconds(300), std::chrono::milliseconds(3000) };
}

static Catalog catalogOf(std::vector<Queue> queues)
{
    return { 7, std::move(queues), { { "packs", true, false } } };
}

static bool hasFinding(const std::vector<CatalogFinding>& findings, FindingSeverity severity, std::string_view place, std::string_view text)
{
    return std::any_of(findings.begin(), findings.end(), [&](const CatalogFinding& finding) {
        return finding.severity_ == severity && finding.place_ == place && finding.text_.find(text) != std::string::npos;
    });
}

BOOST_AUTO_TEST_SUITE(catalog_check)

BOOST_AUTO_TEST_CASE(sound_configuration_has_no_findings)
{
    BOOST_TEST(checkCatalog(catalogOf({ queueAt("/tests/"), queueAt("/tests/long/"), queueAt("/plans/") })).empty());
}

BOOST_AUTO_TEST_CASE(route_behind_an_equal_one_is_never_matched)
{
    auto findings = checkCatalog(catalogOf({ queueAt("/tests/"), queueAt("/plans/"), queueAt("/tests/") }));
    BOOST_TEST(findings.size() == 1U);
    BOOST_TEST(hasFinding(findings, FindingSeverity::Error, "routes[2]", "routes[0] has the same host and prefix"));
}

BOOST_AUTO_TEST_CASE(longer_prefix_that_takes_ids_of_a_shorter_one_is_reported)
{
    auto findings = checkCatalog(catalogOf({ queueAt("/tests/"), queueAt("/tests/0a") }));
    BOOST_TEST(hasFinding(findings, FindingSeverity::Warning, "routes[0]", "whose id begins with 0a go to routes[1]"));
}

BOOST_AUTO_TEST_CASE(route_without_running_workers_is_an_error)
{
    Catalog catalog = catalogOf({ queueAt("/tests/"), queueAt("/plans/") });
    catalog.queues_[0].service_ = "missing";
    catalog.queues_[1].service_ = "reserve";
    catalog.services_.push_back({ "reserve", true, true });
    auto findings = checkCatalog(catalog);
    BOOST_TEST(hasFinding(findings, FindingSeverity::Error, "routes[0]", "no service of the name missing"));
    BOOST_TEST(hasFinding(findings, FindingSeverity::Error, "routes[1]", "as it is spare"));
    BOOST_TEST(hasFinding(findings, FindingSeverity::Warning, "services[0]", "no route names the service packs"));
}

BOOST_AUTO_TEST_CASE(limits_that_no_job_can_meet_are_reported)
{
    Queue queue = queueAt("tests/");
    queue.maxAttempts_ = 0;
    queue.stretch_ = 0.5;
    queue.targetLatency_ = Duration(0);
    queue.timeout_ = std::chrono::milliseconds(100);
    auto findings = checkCatalog(catalogOf({ queue }));
    BOOST_TEST(hasFinding(findings, FindingSeverity::Error, "routes[0]", "begins with /"));
    BOOST_TEST(hasFinding(findings, FindingSeverity::Warning, "routes[0]", "no bound"));
    BOOST_TEST(hasFinding(findings, FindingSeverity::Warning, "routes[0]", "no job can meet the objective"));
    BOOST_TEST(hasFinding(findings, FindingSeverity::Warning, "routes[0]", "before a failing store is noticed"));
    BOOST_TEST(std::is_sorted(findings.begin(), findings.end(), [](const auto& left, const auto& right) { return left.severity_ < right.severity_; }));
}

// Guards against a queue without an objective that is reported as one that cannot meet it.
BOOST_AUTO_TEST_CASE(queue_without_an_objective_is_reported_as_such)
{
    Queue queue = queueAt("/tests/");
    queue.stretch_ = 0;
    queue.targetLatency_ = Duration(0);
    auto findings = checkCatalog(catalogOf({ queue }));
    BOOST_TEST(findings.size() == 1U);
    BOOST_TEST(hasFinding(findings, FindingSeverity::Warning, "routes[0]", "no objective"));
}

// Run times, shares and metrics are kept by the names of queues.
BOOST_AUTO_TEST_CASE(queues_of_one_name_are_reported)
{
    Queue other = queueAt("/plans/");
    other.name_ = queueAt("/tests/").name_;
    auto findings = checkCatalog(catalogOf({ queueAt("/tests/"), other }));
    BOOST_TEST(findings.size() == 1U);
    BOOST_TEST(hasFinding(findings, FindingSeverity::Warning, "routes[1]", "routes[0] has the same name"));
}

BOOST_AUTO_TEST_CASE(version_that_is_not_higher_would_be_ignored)
{
    Catalog inForce = catalogOf({ queueAt("/tests/") });
    BOOST_TEST(checkVersion(inForce, inForce).size() == 1U);
    Catalog proposed = inForce;
    proposed.version_ = 8;
    BOOST_TEST(checkVersion(inForce, proposed).empty());
}

BOOST_AUTO_TEST_CASE(differences_name_entries_and_fields)
{
    Catalog inForce = catalogOf({ queueAt("/tests/"), queueAt("/plans/") });
    Catalog proposed = catalogOf({ queueAt("/tests/"), queueAt("/draws/") });
    proposed.version_ = 8;
    proposed.queues_[0].targetLatency_ = std::chrono::milliseconds(500);
    proposed.services_[0].guardsCapacity_ = false;
    std::vector<CatalogDifference> expected { { "version", "7", "8" }, { "route host.example/plans/", "present", "" }, { "route host.example/tests/ targetLatency", "300 ms", "500 ms" },
        { "route host.example/draws/", "", "present" }, { "service packs admissionCheck", "true", "false" } };
    BOOST_TEST((compareCatalogs(inForce, proposed) == expected));
    BOOST_TEST(compareCatalogs(inForce, inForce).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
