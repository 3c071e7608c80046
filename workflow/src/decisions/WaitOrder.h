// Whom placement serves before a job that waits for room, and why.
//
//     WaitOrder order(state);
//     std::string text = describe(order.aheadOf(job), now);
#pragma once

#include "LeaderRules.h"

#include "persimmondoor/workflow/Urgency.h"

#include <map>

namespace persimmondoor::workflow {

// Why one job is served before another. In the order in which the reasons are compared.
enum class Precedence : uint8_t {
    Priority,
    // More of its value can still be had.
    Prospect,
    // Urgent work goes before long-running tasks in a rush.
    Rush,
    // In a rush, its queue holds the smaller share of the service.
    QueueShare,
    Started,
    Deadline,
};

// \param first is served before `second`.
Precedence precedenceOf(const Urgency& first, const Urgency& second);

// One job that is served before another.
struct JobAhead {
    JobId job_;
    std::string queue_;
    Precedence reason_ { Precedence::Priority };
    auto operator<=>(const JobAhead&) const = default;
};

// The jobs of its service that wait for room and are served before a job.
struct JobsAhead {
    size_t count_ { 0 };
    // Those that are served first.
    std::vector<JobAhead> first_;
    // When at the latest the rush ends that puts the job behind others; empty if none does.
    std::optional<Instant> rushEndsBy_;
    auto operator<=>(const JobsAhead&) const = default;
};

// Text for log lines; empty if no job is ahead.
std::string describe(const JobsAhead&, Instant now);

// The order of placement at one moment. A job is found in it in logarithmic time, as the backlog may be long. The state must
// outlive it unchanged.
class WaitOrder {
public:
    explicit WaitOrder(const LeaderState&);

    JobsAhead aheadOf(const Job&) const;

private:
    const LeaderState& state_;
    // The jobs that wait for room, by service, in the order of placement.
    std::map<std::string, std::vector<Urgency>> ready_;
};

} // namespace persimmondoor::workflow
