// Compares the choosers on the same seeded load in a simulation: three entries, each with its router, send to 11
// endpoints behind their gates. Routers and gates are the project's own code; the simulation draws arrivals and service
// times at random and has fixed network delays.
//
//   bench_choosers [--json]
#include "persimmondoor/admission/Gate.h"
#include "persimmondoor/routing/Router.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <queue>

using namespace persimmondoor;
using namespace persimmondoor::routing;

namespace {

constexpr size_t endpointCount = 11;
constexpr size_t entryCount = 3;
constexpr uint32_t slots = 8;
constexpr int requestCount = 60'000;
constexpr double meanServiceMicroseconds = 20'000;
constexpr Duration deadline = std::chrono::milliseconds(500);
constexpr Duration sameDomainOneWay { 100 };
constexpr Duration crossDomainOneWay { 1500 };

struct Scenario {
    const char* name_;
    // Offered load as a share of the capacity of all endpoints.
    double utilisation_;
    // The first `slowEndpoints_` endpoints take `slowFactor_` times as long to serve a request.
    size_t slowEndpoints_;
    double slowFactor_;
};

enum class Step { Arrive,
    AtAgent,
    Served,
    AnswerReceived };

struct Event {
    Instant at_;
    uint64_t sequence_;
    Step step_;
    size_t request_;
    bool operator<(const Event& other) const { return std::pair(at_, sequence_) > std::pair(other.at_, other.sequence_); }
};

struct Request {
    Instant arrivedAt_;
    size_t entry_ { 0 };
    size_t endpoint_ { 0 };
    Answered answer_;
};

struct Result {
    std::string chooser_;
    std::string scenario_;
    std::vector<int64_t> latencies_;
    int notRun_ { 0 };
    int sent_ { 0 };
};

class Simulation {
public:
    Simulation(const Scenario& scenario, const Chooser& chooser)
        : scenario_(scenario)
    {
        for (size_t index = 0; index < endpointCount; ++index) {
            gates_.push_back(*admission::Gate::create({ { endpoint(index), slots, 64 } }));
            capacity_ += slots / (meanServiceMicroseconds * slowdown(index));
        }
        for (size_t entry = 0; entry < entryCount; ++entry) {
            Router router = decide(Router(RouterOptions { static_cast<uint32_t>(entry + 1), chooser }), ServiceDefined { ServiceName::of("s"), Tier::Paying, deadline }, now_).state_;
            for (size_t index = 0; index < endpointCount; ++index)
                router = decide(std::move(router), workerUp(index), now_).state_;
            routers_.push_back(std::move(router));
        }
    }

    Result run()
    {
        schedule(Duration(0), Step::Arrive, 0);
        while (!events_.empty()) {
            Event event = events_.top();
            events_.pop();
            now_ = event.at_;
            handle(event);
        }
        std::sort(result_.latencies_.begin(), result_.latencies_.end());
        return std::move(result_);
    }

private:
    static EndpointName endpoint(size_t index) { return EndpointName::of("e" + std::to_string(index)); }
    static RequestId id(size_t request) { return RequestId::of("r" + std::to_string(request)); }
    double slowdown(size_t index) const { return index < scenario_.slowEndpoints_ ? scenario_.slowFactor_ : 1.0; }
    Duration oneWay(const Request& request) const { return request.endpoint_ % 4 == request.entry_ ? sameDomainOneWay : crossDomainOneWay; }

    static membership::WorkerUp workerUp(size_t index)
    {
        std::string number = std::to_string(index);
        return { { WorkerName::of("w" + number), FailureDomainName::of("d" + std::to_string(index % 4)), RackName::of("r"), Incarnation(1), Sequence(1), *Address::parse("127.0.0.1:1"),
            { { endpoint(index), ServiceName::of("s"), TeamName::of("t"), slots, 64 } }, false } };
    }

    void schedule(Duration after, Step step, size_t request) { events_.push({ now_ + after, sequence_++, step, request }); }

    Duration exponential(double mean)
    {
        return Duration(static_cast<int64_t>(std::exponential_distribution<double>(1.0 / mean)(random_)) + 1);
    }

    void handle(const Event& event)
    {
        switch (event.step_) {
        case Step::Arrive:
            arrive(event.request_);
            break;
        case Step::AtAgent: {
            const Request& request = requests_[event.request_];
            Instant due = request.arrivedAt_ + deadline;
            gate(request.endpoint_, admission::Arrived { id(event.request_), endpoint(request.endpoint_), Tier::Paying, due });
            break;
        }
        case Step::Served: {
            Request& request = requests_[event.request_];
            gate(request.endpoint_, admission::Finished { id(event.request_) });
            reply(event.request_, { id(event.request_), endpoint(request.endpoint_), {}, AnswerKind::Done, NotRunReason::Unspecified });
            break;
        }
        case Step::AnswerReceived:
            route(requests_[event.request_].entry_, requests_[event.request_].answer_);
            break;
        }
    }

    void arrive(size_t number)
    {
        requests_.push_back({ now_, number % entryCount, 0, {} });
        if (number + 1 < requestCount)
            schedule(exponential(1.0 / (capacity_ * scenario_.utilisation_)), Step::Arrive, number + 1);
        route(number % entryCount, Route { id(number), ServiceName::of("s"), Tier::Paying, false, deadline });
    }

    void route(size_t entry, const RouterMessage& message)
    {
        RouterDecision decision = decide(std::move(routers_[entry]), message, now_);
        routers_[entry] = std::move(decision.state_);
        for (const RouterAction& action : decision.actions_) {
            if (const auto* sent = std::get_if<SendTo>(&action)) {
                size_t number = std::stoul(sent->id_.value().substr(1));
                requests_[number].endpoint_ = std::stoul(sent->endpoint_.value().substr(1));
                ++result_.sent_;
                schedule(oneWay(requests_[number]), Step::AtAgent, number);
            } else {
                finish(action);
            }
        }
    }

    void finish(const RouterAction& action)
    {
        const auto* deliver = std::get_if<Deliver>(&action);
        size_t number = deliver ? std::stoul(deliver->id_.value().substr(1)) : 0;
        if (deliver && requests_[number].answer_.kind_ == AnswerKind::Done)
            result_.latencies_.push_back((now_ - requests_[number].arrivedAt_).count());
        else
            ++result_.notRun_;
    }

    void gate(size_t index, const admission::GateMessage& message)
    {
        admission::GateDecision decision = decide(std::move(gates_[index]), message, now_);
        gates_[index] = std::move(decision.state_);
        for (const admission::GateAction& action : decision.actions_) {
            if (const auto* handOver = std::get_if<admission::HandOver>(&action))
                schedule(exponential(meanServiceMicroseconds * slowdown(index)), Step::Served, std::stoul(handOver->id_.value().substr(1)));
            if (const auto* refuse = std::get_if<admission::Refuse>(&action))
                reply(std::stoul(refuse->id_.value().substr(1)), { refuse->id_, endpoint(index), {}, AnswerKind::NotRun, refuse->reason_ });
        }
    }

    void reply(size_t number, Answered answer)
    {
        Request& request = requests_[number];
        answer.load_ = gates_[request.endpoint_].load(endpoint(request.endpoint_));
        request.answer_ = std::move(answer);
        schedule(oneWay(request), Step::AnswerReceived, number);
    }

    Scenario scenario_;
    std::minstd_rand random_ { 20261204 };
    Instant now_ = Instant::fromMicroseconds(1);
    uint64_t sequence_ { 0 };
    double capacity_ { 0 };
    std::vector<admission::Gate> gates_;
    std::vector<Router> routers_;
    std::vector<Request> requests_;
    std::priority_queue<Event> events_;
    Result result_;
};

double quantileMilliseconds(const std::vector<int64_t>& sorted, double quantile)
{
    if (sorted.empty())
        return 0;
    return static_cast<double>(sorted[static_cast<size_t>(quantile * static_cast<double>(sorted.size() - 1))]) / 1000.0;
}

void print(const Result& result, bool json)
{
    const std::vector<int64_t>& latencies = result.latencies_;
    const char* format = json ? "{\"scenario\":\"%s\",\"chooser\":\"%s\",\"done\":%zu,\"not_run\":%d,\"sent\":%d,\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"p999_ms\":%.2f}\n"
                              : "%-28s %-20s %7zu %7d %7d %8.2f %8.2f %8.2f\n";
    std::printf(format, result.scenario_.c_str(), result.chooser_.c_str(), latencies.size(), result.notRun_, result.sent_, quantileMilliseconds(latencies, 0.5),
        quantileMilliseconds(latencies, 0.99), quantileMilliseconds(latencies, 0.999));
}

} // namespace

int main(int argc, char** argv)
{
    bool json = argc > 1 && std::strcmp(argv[1], "--json") == 0;
    const std::vector<Scenario> scenarios { { "even, 70%", 0.7, 0, 1 }, { "even, 90%", 0.9, 0, 1 }, { "half 3 times slower, 70%", 0.7, 5, 3 }, { "one 10 times slower, 70%", 0.7, 1, 10 }, { "even, 200%", 2.0, 0, 1 } };
    const std::vector<std::pair<const char*, Chooser>> choosers { { "round robin", RoundRobin {} }, { "least of two", LeastOfTwo {} }, { "least expected time", LeastExpectedTime {} } };
    if (!json)
        std::printf("%-28s %-20s %7s %7s %7s %8s %8s %8s\n", "scenario", "chooser", "done", "not run", "sent", "p50 ms", "p99 ms", "p99.9 ms");
    for (const Scenario& scenario : scenarios) {
        for (const auto& [name, chooser] : choosers) {
            Result result = Simulation(scenario, chooser).run();
            result.scenario_ = scenario.name_;
            result.chooser_ = name;
            print(result, json);
        }
    }
    return 0;
}
