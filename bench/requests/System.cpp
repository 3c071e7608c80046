#include "System.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Invariant.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::bench {

namespace asio = boost::asio;

static const Address loopback = *Address::parse("127.0.0.1:0");
static constexpr Duration hangTime = std::chrono::milliseconds(400);

namespace {

    // A service instance.
    struct Instance {
        Behaviour behaviour_;
        std::shared_ptr<RequestCounts> requestCounts_;
        size_t index_;
        std::shared_ptr<std::minstd_rand> random_;
    };

} // namespace

static asio::awaitable<http::Response> serve(Instance instance, http::Request request)
{
    double sample = std::uniform_real_distribution<double>()(*instance.random_);
    ++instance.requestCounts_->requestsOfEndpoint_.at(instance.index_);
    if (!request.body_.empty())
        ++instance.requestCounts_->runs_[request.body_];
    if (instance.behaviour_.serviceTime_ > Duration(0))
        co_await sleepFor(instance.behaviour_.serviceTime_);
    if (sample < instance.behaviour_.hangShare_)
        co_await sleepFor(hangTime);
    // The agent must detect a response with the id of another request and report the outcome as unknown.
    if (sample > 1 - instance.behaviour_.crossedShare_)
        co_return http::Response { 200, { { std::string(admission::requestIdHeader), "another" } }, "crossed" };
    co_return http::Response { 200, {}, "ok" };
}

System::System(rpc::Loop& loop, size_t endpoints, uint32_t slots, size_t entries, Behaviour behaviour)
    : loop_(loop)
    , behaviour_(behaviour)
{
    site_.cell_ = "bench";
    platform_ = *store::serveStandins(executor(), loopback, store::PlatformStandins::create(SteadyClock()));
    site_.platform_ = platform_->address();
    settings::TeamSettings team { TeamName::of("team"), {}, {} };
    settings::ServiceSettings service;
    service.name_ = ServiceName::of("packs");
    service.tier_ = Tier::Paying;
    service.deadline_ = std::chrono::milliseconds(500);
    team.services_.push_back(service);
    site_.teams_.push_back(team);
    site_.subtrees_.push_back({ TeamName::of("team"), R"({"services":{"packs":{"tier":"paying","deadline_ms":500}},"quota":{"cores":1,"memory_gb":1,"accelerators":0}})" });
    for (size_t index = 0; index < endpoints; ++index)
        startInstance(index, slots);
    for (size_t index = 0; index < entries; ++index)
        addEntry();
    for (const settings::WorkerSite& worker : site_.workers_)
        agents_.push_back(*app::Agent::start(executor(), site_, worker));
}

System::~System() = default;

void System::startInstance(size_t index, uint32_t slots)
{
    requestCounts_->requestsOfEndpoint_.push_back(0);
    Instance instance { behaviour_, requestCounts_, index, std::make_shared<std::minstd_rand>(static_cast<uint32_t>(index + 1)) };
    instances_.push_back(*http::Server::listen(executor(), loopback, {}, [instance](http::Request request) { return serve(instance, std::move(request)); }));
    std::string number = std::to_string(index);
    settings::EndpointSite endpoint { EndpointName::of("packs-" + number), ServiceName::of("packs"), TeamName::of("team"), instances_.back()->address(), slots, 64 };
    settings::WorkerSite worker;
    worker.name_ = WorkerName::of("worker-" + number);
    worker.domain_ = FailureDomainName::of("domain-" + std::to_string(index % 4));
    worker.rack_ = RackName::of("rack-" + number);
    worker.rpc_ = loopback;
    worker.endpoints_.push_back(endpoint);
    site_.workers_.push_back(worker);
}

Address System::addEntry()
{
    settings::EntrySite self { ProcessName::of(concat("entry-", entries_.size())), FailureDomainName::of("domain-0"), loopback, loopback, loopback };
    auto entry = app::Entry::start(executor(), site_, self);
    assertInvariant(entry.ok(), "the entry starts");
    entries_.push_back(*std::move(entry));
    site_.entries_.push_back(entries_.back()->site());
    return entries_.back()->site().http_;
}

void System::restartAgent(size_t index)
{
    agents_.at(index).reset();
    agents_.at(index) = *app::Agent::start(executor(), site_, site_.workers_.at(index));
}

} // namespace persimmondoor::bench
