#include "Measure.h"
#include "Meter.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/membership/View.h"
#include "persimmondoor/routing/Router.h"

namespace persimmondoor::capacity {

static constexpr Instant start = Instant::fromMicroseconds(0);
// Endpoints per worker: 24,000 latency-critical tasks on 6,300 workers, rounded up.
static constexpr int endpointsPerWorker = 4;

static membership::Announcement announcementOf(int worker, uint64_t sequence)
{
    membership::Announcement announcement { WorkerName::of(concat("worker-", worker)), FailureDomainName::of(concat("domain-", worker % 15)),
        RackName::of(concat("rack-", worker / 40)), Incarnation(1), Sequence(sequence), *Address::parse("127.0.0.1:7300"), {}, false };
    for (int index = 0; index < endpointsPerWorker; ++index)
        announcement.endpoints_.push_back({ EndpointName::of(concat("endpoint-", worker, "-", index)), ServiceName::of(concat("service-", (worker + index) % 200)),
            TeamName::of(concat("team-", (worker + index) % 48)), 8, 64 });
    return announcement;
}

namespace {

    struct EntryState {
        membership::View view_;
        routing::Router router_;
    };

} // namespace

static void announce(EntryState& state, int worker, uint64_t sequence)
{
    membership::ViewDecision decision = membership::decide(std::move(state.view_), membership::Announced { announcementOf(worker, sequence) }, start);
    state.view_ = std::move(decision.state_);
    for (const membership::ViewAction& action : decision.actions_) {
        std::visit([&](const auto& alternative) { state.router_ = routing::decide(std::move(state.router_), alternative, start).state_; }, action);
    }
}

static EntryState filledState(int workers)
{
    EntryState state;
    for (int worker = 0; worker < workers; ++worker)
        announce(state, worker, 1);
    return state;
}

Slopes measureEntry()
{
    static constexpr int routings = 100'000;
    std::vector<Point> memory;
    std::vector<Point> refresh;
    std::vector<Point> routing;
    for (int workers : { 700, 2'100, 6'300 }) {
        double before = heapBytes();
        EntryState state = filledState(workers);
        memory.push_back({ static_cast<double>(workers), heapBytes() - before });
        double started = threadMicroseconds();
        for (int worker = 0; worker < workers; ++worker)
            announce(state, worker, 2);
        refresh.push_back({ static_cast<double>(workers), threadMicroseconds() - started });
    }
    EntryState state = filledState(2'100);
    for (int service = 0; service < 200; ++service)
        state.router_ = routing::decide(std::move(state.router_), routing::ServiceDefined { ServiceName::of(concat("service-", service)), Tier::Paying, std::chrono::seconds(1) }, start).state_;
    for (int count : { routings / 4, routings / 2, routings }) {
        double started = threadMicroseconds();
        for (int index = 0; index < count; ++index) {
            RequestId id = RequestId::of(concat("r-", index));
            routing::RouterDecision decision = routing::decide(std::move(state.router_), routing::Route { id, ServiceName::of(concat("service-", index % 200)) }, start);
            EndpointName endpoint = std::get<routing::SendTo>(decision.actions_.at(0)).endpoint_;
            state.router_ = routing::decide(std::move(decision.state_), routing::Answered { id, endpoint, { 1, 0, 8 } }, start).state_;
        }
        routing.push_back({ static_cast<double>(count), threadMicroseconds() - started });
    }
    return { fit("entry.memory", "workers", "bytes", memory), fit("entry.announcement", "announcements", "us", refresh),
        fit("entry.route", "requests", "us", routing) };
}

} // namespace persimmondoor::capacity
