#include "persimmondoor/soak/FaultPlan.h"

#include "Draws.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace persimmondoor::soak {

static constexpr Duration shortestFault = std::chrono::milliseconds(300);
static constexpr Duration longestFault = std::chrono::milliseconds(4000);
static constexpr Duration meanInterval = std::chrono::milliseconds(1200);
static constexpr uint32_t longestSeries = 3;
static constexpr uint32_t kinds = 7;

static Fault drawFault(Draws& draws, const Fleet& fleet)
{
    uint32_t kind = draws.below(kinds);
    uint32_t process = draws.below(fleet.entries_ + fleet.agents_);
    uint32_t worker = draws.below(fleet.agents_);
    auto link = static_cast<LinkFault>(draws.below(5));
    auto store = static_cast<StoreFault>(draws.below(5));
    Duration duration = draws.between(shortestFault, longestFault);
    switch (kind) {
    case 0:
        return KillProcess { process };
    case 1:
        return StopProcess { process };
    case 2:
        return PauseProcess { process, duration };
    case 3:
        return CrashWorker { worker };
    case 4:
        return BreakStoreLink { process, link, duration };
    case 5:
        return BreakWorkerLink { worker, link, duration };
    default:
        return BreakStore { store, duration };
    }
}

FaultPlan makeFaultPlan(uint64_t seed, const Fleet& fleet, Duration trouble)
{
    Draws draws(seed);
    FaultPlan plan;
    auto count = static_cast<uint32_t>(trouble / meanInterval);
    while (plan.size() < count) {
        Duration at = draws.between(Duration(0), trouble);
        uint32_t series = 1 + (draws.below(3) == 0 ? draws.below(longestSeries) : 0);
        Fault fault = drawFault(draws, fleet);
        for (uint32_t repetition = 0; repetition < series; ++repetition) {
            plan.push_back({ std::min(at, trouble), fault });
            at += draws.between(shortestFault, 2 * meanInterval);
            // A series hits one process again, or the next.
            if (draws.below(2) == 0)
                fault = drawFault(draws, fleet);
        }
    }
    std::sort(plan.begin(), plan.end());
    return plan;
}

static std::string_view describe(LinkFault fault)
{
    static constexpr std::array<std::string_view, 5> texts { "delayed", "reset", "cut towards the server", "cut towards the client", "silent" };
    return texts.at(static_cast<size_t>(fault));
}

static std::string_view describe(StoreFault fault)
{
    static constexpr std::array<std::string_view, 5> texts { "refuses", "is silent", "is slow", "loses answers", "forgets its history" };
    return texts.at(static_cast<size_t>(fault));
}

static int64_t wholeMilliseconds(Duration duration)
{
    return duration.count() / 1000;
}

namespace {

    struct DescribeVisitor {
        std::string operator()(const KillProcess& fault) const { return concat("process ", fault.process_, " is killed"); }
        std::string operator()(const StopProcess& fault) const { return concat("process ", fault.process_, " is stopped"); }
        std::string operator()(const PauseProcess& fault) const { return concat("process ", fault.process_, " is paused for ", wholeMilliseconds(fault.duration_), " ms"); }
        std::string operator()(const CrashWorker& fault) const { return concat("worker ", fault.worker_, " crashes"); }
        std::string operator()(const BreakStoreLink& fault) const { return concat("link of process ", fault.process_, " to the store is ", describe(fault.fault_), " for ", wholeMilliseconds(fault.duration_), " ms"); }
        std::string operator()(const BreakWorkerLink& fault) const { return concat("link to worker ", fault.worker_, " is ", describe(fault.fault_), " for ", wholeMilliseconds(fault.duration_), " ms"); }
        std::string operator()(const BreakStore& fault) const { return concat("the store ", describe(fault.fault_), " for ", wholeMilliseconds(fault.duration_), " ms"); }
    };

} // namespace

std::string describe(const Fault& fault)
{
    return std::visit(DescribeVisitor(), fault);
}

} // namespace persimmondoor::soak
