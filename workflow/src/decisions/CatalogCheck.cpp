#include "persimmondoor/workflow/CatalogCheck.h"

#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Tuning.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace persimmondoor::workflow {

std::string_view describe(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

namespace {

    // Collects the findings on one catalog.
    class Checker {
    public:
        explicit Checker(const Catalog& catalog)
            : catalog_(catalog)
        {
        }

        std::vector<CatalogFinding> check() &&
        {
            if (catalog_.version_ == 0)
                add(FindingSeverity::Error, "version", "0 stands for no configuration; expected 1 or more");
            checkServices();
            for (size_t index = 0; index < catalog_.queues_.size(); ++index)
                checkQueue(index);
            std::stable_sort(findings_.begin(), findings_.end(), [](const CatalogFinding& left, const CatalogFinding& right) { return left.severity_ < right.severity_; });
            return std::move(findings_);
        }

    private:
        void add(FindingSeverity severity, std::string place, std::string text)
        {
            findings_.push_back({ severity, std::move(place), std::move(text) });
        }

        void checkServices()
        {
            std::set<std::string> names;
            for (size_t index = 0; index < catalog_.services_.size(); ++index) {
                const ServicePolicy& service = catalog_.services_[index];
                std::string place = concat("services[", index, "]");
                if (!names.insert(service.name_).second)
                    add(FindingSeverity::Error, place, concat("a service of the name ", service.name_, " stands before it, which would be used instead"));
                bool isUsed = std::any_of(catalog_.queues_.begin(), catalog_.queues_.end(), [&](const Queue& queue) { return queue.service_ == service.name_; });
                if (!isUsed && !service.isSpare_)
                    add(FindingSeverity::Warning, place, concat("no route names the service ", service.name_, ", so that its workers get no tasks"));
            }
        }

        const ServicePolicy* findService(const std::string& name) const
        {
            auto found = std::find_if(catalog_.services_.begin(), catalog_.services_.end(), [&](const ServicePolicy& service) { return service.name_ == name; });
            return found == catalog_.services_.end() ? nullptr : &*found;
        }

        void checkQueue(size_t index)
        {
            const Queue& queue = catalog_.queues_[index];
            std::string place = concat("routes[", index, "]");
            const ServicePolicy* service = findService(queue.service_);
            if (!service)
                add(FindingSeverity::Error, place, concat("no service of the name ", queue.service_, ": the queue's jobs would be accepted and never run"));
            else if (service->isSpare_)
                add(FindingSeverity::Error, place, concat("the machines of the service ", queue.service_, " are off, as it is spare: the queue's jobs would be accepted and never run"));
            checkMatch(index, place);
            checkLimits(queue, place);
        }

        // A request goes to the route of its host with the longest prefix, so that only an equal one or a malformed one keeps a
        // route from being matched.
        void checkMatch(size_t index, const std::string& place)
        {
            const Queue& queue = catalog_.queues_[index];
            if (!queue.prefix_.starts_with('/') || queue.prefix_.find_first_of("?# ") != std::string::npos)
                add(FindingSeverity::Error, place, concat("no request matches the prefix ", queue.prefix_, ": expected a path that begins with / and has no ?, # or space"));
            for (size_t other = 0; other < catalog_.queues_.size(); ++other) {
                const Queue& second = catalog_.queues_[other];
                bool isEarlier = other < index;
                bool isSameHost = second.host_ == queue.host_;
                if (isEarlier && isSameHost && second.prefix_ == queue.prefix_)
                    add(FindingSeverity::Error, place, concat("no request matches it: routes[", other, "] has the same host and prefix"));
                else if (isEarlier && second.name_ == queue.name_)
                    add(FindingSeverity::Warning, place, concat("routes[", other, "] has the same name: run times, shares of room and metrics of both are counted together"));
                if (isSameHost && takesJobsOf(second.prefix_, queue.prefix_))
                    add(FindingSeverity::Warning, place, concat("requests for jobs whose id begins with ", second.prefix_.substr(queue.prefix_.size()), " go to routes[", other, "], where they are malformed"));
            }
        }

        // True if the longer prefix matches paths of the shorter one's jobs, whose ids are hexadecimal digits.
        static bool takesJobsOf(const std::string& longer, const std::string& shorter)
        {
            return longer.size() > shorter.size() && longer.starts_with(shorter) && longer.find_first_not_of("0123456789abcdefABCDEF", shorter.size()) == std::string::npos;
        }

        void checkLimits(const Queue& queue, const std::string& place)
        {
            const Tuning tuning;
            if (queue.stretch_ < 0)
                add(FindingSeverity::Error, place, concat("stretch is ", queue.stretch_, "; expected 0 or more"));
            else if (queue.stretch_ == 0 && queue.targetLatency_ == Duration(0))
                add(FindingSeverity::Warning, place, "no objective, as stretch and target latency are 0: each of its jobs counts as too late from the begin and runs after all others of its priority");
            else if (queue.stretch_ < 1 && queue.targetLatency_ == Duration(0))
                add(FindingSeverity::Warning, place, concat("no job can meet the objective of ", queue.stretch_, " times its own run time without a target latency"));
            if (queue.maxAttempts_ == 0)
                add(FindingSeverity::Warning, place, "0 attempts stand for no bound: a task that always fails is started without end");
            if (queue.timeout_ > Duration(0) && queue.timeout_ < tuning.refuseAfterStoreFailure_)
                add(FindingSeverity::Warning, place, concat("the time-out of ", milliseconds(queue.timeout_), " ms ends requests before a failing store is noticed, after ", milliseconds(tuning.refuseAfterStoreFailure_), " ms: their outcome would be unknown"));
        }

        const Catalog& catalog_;
        std::vector<CatalogFinding> findings_;
    };

} // namespace

std::vector<CatalogFinding> checkCatalog(const Catalog& catalog)
{
    return Checker(catalog).check();
}

std::vector<CatalogFinding> checkVersion(const Catalog& inForce, const Catalog& proposed)
{
    if (proposed.version_ > inForce.version_)
        return {};
    return { { FindingSeverity::Error, "version", concat("version ", proposed.version_, " would be ignored, as version ", inForce.version_, " is in force") } };
}

using NamedFields = std::map<std::string, std::string>;

static NamedFields fieldsOf(const Queue& queue)
{
    return { { "name", queue.name_ }, { "service", queue.service_ }, { "priority", concat(queue.priority_) }, { "maxAttempts", concat(queue.maxAttempts_) }, { "stretch", concat(queue.stretch_) },
        { "targetLatency", concat(milliseconds(queue.targetLatency_), " ms") }, { "timeout", concat(milliseconds(queue.timeout_), " ms") } };
}

static NamedFields fieldsOf(const ServicePolicy& service)
{
    return { { "admissionCheck", service.guardsCapacity_ ? "true" : "false" }, { "spare", service.isSpare_ ? "true" : "false" } };
}

static std::map<std::string, NamedFields> queuesOf(const Catalog& catalog)
{
    std::map<std::string, NamedFields> queues;
    for (const Queue& queue : catalog.queues_)
        queues.try_emplace(concat("route ", queue.host_, queue.prefix_), fieldsOf(queue));
    return queues;
}

static std::map<std::string, NamedFields> servicesOf(const Catalog& catalog)
{
    std::map<std::string, NamedFields> services;
    for (const ServicePolicy& service : catalog.services_)
        services.try_emplace(concat("service ", service.name_), fieldsOf(service));
    return services;
}

static void compareEntries(const std::map<std::string, NamedFields>& before, const std::map<std::string, NamedFields>& after, std::vector<CatalogDifference>& differences)
{
    for (const auto& [place, fields] : before) {
        auto found = after.find(place);
        if (found == after.end()) {
            differences.push_back({ place, "present", "" });
            continue;
        }
        for (const auto& [name, value] : fields) {
            if (found->second.at(name) != value)
                differences.push_back({ concat(place, " ", name), value, found->second.at(name) });
        }
    }
    for (const auto& [place, fields] : after) {
        if (before.count(place) == 0)
            differences.push_back({ place, "", "present" });
    }
}

std::vector<CatalogDifference> compareCatalogs(const Catalog& inForce, const Catalog& proposed)
{
    std::vector<CatalogDifference> differences;
    if (inForce.version_ != proposed.version_)
        differences.push_back({ "version", concat(inForce.version_), concat(proposed.version_) });
    compareEntries(queuesOf(inForce), queuesOf(proposed), differences);
    compareEntries(servicesOf(inForce), servicesOf(proposed), differences);
    return differences;
}

} // namespace persimmondoor::workflow
