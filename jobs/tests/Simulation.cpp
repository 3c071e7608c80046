#include "Simulation.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/leases/Ownership.h"

#include <algorithm>

namespace persimmondoor::jobs::simulation {

static const PartitionNumber partition(7);
static constexpr Duration tick = std::chrono::milliseconds(200);
static constexpr Duration horizon = std::chrono::seconds(30);
static constexpr Duration ownerLease = std::chrono::seconds(10);
static constexpr uint32_t faultSteps = 600;
static constexpr uint32_t quietSteps = 9000;
static constexpr Duration network = std::chrono::milliseconds(30);

std::ostream& operator<<(std::ostream& stream, const Fault& fault)
{
    return stream << "{" << fault.step_ << ", " << static_cast<int>(fault.kind_) << ", " << fault.target_ << "}";
}

Simulation::Simulation(uint64_t seed, std::vector<Fault> faults)
    : random_(seed)
    , faults_(std::move(faults))
{
    for (int index = 0; index < 6; ++index)
        hosts_.emplace_back(WorkerName::of(concat("worker-", index)), FailureDomainName::of(concat("domain-", index % 3)), index == 5);
}

std::optional<std::string> Simulation::run()
{
    takeOver(0);
    for (uint32_t index = 0; index < 3; ++index)
        submit(index);
    for (uint32_t count = 0; count < faultSteps && !failure_; ++count) {
        for (const Fault& fault : faults_) {
            if (fault.step_ == count)
                inject(fault);
        }
        // A long outage passes in longer steps.
        step(storeDownUntil_ - now_ > std::chrono::minutes(1) ? Duration(std::chrono::seconds(2)) : tick);
    }
    storeDownUntil_ = lateWritesUntil_ = lossUntil_ = chaosUntil_ = now_;
    repliesToLose_ = 0;
    for (uint32_t domain = 0; domain < 3; ++domain)
        setDomain(domain, true);
    for (uint32_t count = 0; count < quietSteps && !failure_ && !allEnded(); ++count)
        step(tick);
    if (!failure_ && !allEnded())
        fail(concat("work is left: ", durable_.liveTasks(), " tasks"));
    return failure_;
}

void Simulation::step(Duration time)
{
    Instant end = now_ + time;
    while (!pending_.empty() && pending_.begin()->first <= end) {
        auto node = pending_.extract(pending_.begin());
        now_ = std::max(now_, node.key());
        for (SimulatedHost& host : hosts_) {
            if (host.isUp(now_))
                host.advance(now_);
        }
        node.mapped()();
        check();
    }
    now_ = end;
    for (SimulatedHost& host : hosts_) {
        if (host.isUp(now_))
            host.advance(now_);
        if (chance(4))
            host.finishOne(random_(), now_);
    }
    heartbeat();
    if (chance(3))
        askAgain();
    for (size_t index = 0; index < processes_.size(); ++index)
        deliver(index, processes_[index].life_, TimePassed {});
    check();
}

void Simulation::heartbeat()
{
    bool storeUp = now_ >= storeDownUntil_;
    for (size_t index = 0; index < processes_.size(); ++index) {
        Process& process = processes_[index];
        if (!process.owner_ || !owns(index) || now_ < process.pausedUntil_)
            continue;
        // The lease time counts while the store is up, as watchers can see nothing else.
        lastOwned_ = now_;
        if (storeUp) {
            deliver(index, process.life_, HorizonExtended { now_ + horizon });
            std::vector<DomainState> domains = readDomains(table_.scan({ std::string(domainPrefix), "", 100 }));
            if (chance(20))
                tell(index, DomainsRead { domains }, network);
        }
    }
    if (storeUp && now_ - lastOwned_ > ownerLease)
        takeOver(random_() % 2);
}

bool Simulation::owns(size_t process) const
{
    store::TableState copy = table_;
    return copy.read(leases::partitionKey(partition)).version_ == processes_[process].fence_;
}

void Simulation::takeOver(size_t index)
{
    Process& process = processes_[index];
    if (now_ < storeDownUntil_ || now_ < process.pausedUntil_)
        return;
    bool first = epoch_ == Epoch();
    epoch_ = epoch_.next();
    auto outcome = table_.apply({ {}, { store::Put { leases::partitionKey(partition), concat("owner ", index, " epoch ", epoch_.value()) } } });
    process.fence_ = std::get<store::Committed>(outcome).version_;
    ++process.life_;
    Ledger ledger;
    Sequence through;
    if (store::Row row = table_.read(snapshotKey(partition)); row.version_ != store::RowVersion()) {
        SnapshotRow snapshot = *decodeSnapshotRow(row.value_);
        through = snapshot.through_;
        ledger = *decodeSnapshot(objects_.at(snapshot.object_));
    }
    auto recovered = replay(std::move(ledger), through, table_.scan({ journalPrefix(partition), "", 100'000 }));
    if (!recovered.ok())
        return fail(std::string(recovered.status().message()));
    takeovers_ += first ? 0 : 1;
    lastOwned_ = now_;
    process.owner_ = Owner::create({ partition, epoch_, recovered->next_, recovered->batches_, first ? Duration(0) : horizon }, recovered->ledger_, now_);
    std::vector<KnownWorker> workers;
    for (const SimulatedHost& host : hosts_)
        workers.push_back({ { host.worker(), RackName::of("rack"), host.domain() }, host.probe(now_).capacity_ });
    deliver(index, process.life_, WorkersListed { workers });
    deliver(index, process.life_, QuotasChanged { { { TeamName::of("team"), *Resources::create(1'000'000, 1'000'000'000'000, 10) } } });
    deliver(index, process.life_, DomainsRead { readDomains(table_.scan({ std::string(domainPrefix), "", 100 })) });
    deliver(index, process.life_, HorizonExtended { now_ + horizon });
}

void Simulation::deliver(size_t index, uint64_t life, const OwnerMessage& message)
{
    Process& process = processes_[index];
    if (process.life_ != life || !process.owner_ || failure_)
        return;
    if (now_ < process.pausedUntil_) {
        if (!std::holds_alternative<TimePassed>(message))
            pending_.emplace(process.pausedUntil_, [this, index, life, message] { deliver(index, life, message); });
        return;
    }
    OwnerDecision decision = decide(*std::move(process.owner_), message, { now_, now_.microseconds() / 1000 });
    process.owner_ = std::move(decision.state_);
    for (const OwnerAction& action : decision.actions_)
        perform(index, action);
    if (process.owner_ && process.owner_->isResigned())
        process.owner_.reset();
}

void Simulation::later(Duration most, std::function<void()> work)
{
    Duration wait(random_() % static_cast<uint64_t>(most.count()) + 1);
    if (now_ < chaosUntil_ && chance(20))
        wait += Duration(random_() % 12'000'000);
    pending_.emplace(now_ + wait, std::move(work));
}

void Simulation::tell(size_t process, OwnerMessage message, Duration most)
{
    uint64_t life = processes_[process].life_;
    later(most, [this, process, life, message = std::move(message)] { deliver(process, life, message); });
}

void Simulation::perform(size_t process, const OwnerAction& action)
{
    std::visit(Visitor {
                   [&](const CommitBatch& item) { commit(process, item); },
                   [&](const ReadBatch& item) { readBack(process, item); },
                   [&](const ProbeWorkers& item) { probe(process, item); },
                   [&](const SendStart& item) { start(process, item); },
                   [&](const SendStop& item) { stop(process, item); },
                   [&](const SendRenewal& item) { renew(process, item); },
                   [&](const StoreSnapshot& item) { snapshot(process, item); },
                   [&](const AnswerRequest& item) {
                       auto asked = asked_.find(item.ticket_);
                       if (asked == asked_.end() || !std::holds_alternative<Accepted>(item.result_))
                           return;
                       accepted_.insert(asked->second);
                       notAccepted_.erase(asked->second);
                   },
                   [](const Resign&) {},
               },
        action);
}

void Simulation::commit(size_t process, const CommitBatch& commit)
{
    store::Transaction transaction = batchTransaction(partition, processes_[process].fence_, commit);
    Sequence sequence = commit.batch_.sequence_;
    auto execute = [this, transaction, batch = commit.batch_] {
        auto outcome = table_.apply(transaction);
        if (std::holds_alternative<store::Committed>(outcome))
            noteDurable(batch);
        return outcome;
    };
    later(std::chrono::milliseconds(150), [this, process, sequence, execute, life = processes_[process].life_] {
        auto answer = [&](JournalMessage message) {
            later(network, [this, process, life, message] { deliver(process, life, JournalAnswered { message }); });
        };
        if (now_ < storeDownUntil_)
            return answer(BatchRefused { sequence });
        if (now_ < lateWritesUntil_ && chance(50)) {
            later(std::chrono::seconds(8), [execute] { execute(); });
            return answer(BatchOutcomeUnknown { sequence });
        }
        bool written = std::holds_alternative<store::Committed>(execute());
        if (repliesToLose_ > 0) {
            --repliesToLose_;
            return answer(BatchOutcomeUnknown { sequence });
        }
        answer(written ? JournalMessage(BatchWritten { sequence }) : JournalMessage(BatchOutcomeUnknown { sequence }));
    });
}

void Simulation::readBack(size_t process, const ReadBatch& read)
{
    later(network, [this, process, sequence = read.sequence_, life = processes_[process].life_] {
        if (now_ < storeDownUntil_)
            return later(network, [=, this] { deliver(process, life, JournalAnswered { ReadBackFailed { sequence } }); });
        store::Row row = table_.read(journalKey(partition, sequence));
        std::vector<DomainState> domains = readDomains(table_.scan({ std::string(domainPrefix), "", 100 }));
        BatchReadBack answer { sequence, owns(process), std::nullopt, {} };
        if (row.version_ != store::RowVersion())
            answer.row_ = *decodeBatch(row.value_);
        for (const DomainState& domain : domains) {
            if (!domain.inService_)
                answer.closedDomains_.insert(domain.domain_);
        }
        later(network, [this, process, life, answer, domains] {
            deliver(process, life, DomainsRead { domains });
            deliver(process, life, JournalAnswered { answer });
        });
    });
}

SimulatedHost& Simulation::hostOf(const WorkerName& worker)
{
    return *std::find_if(hosts_.begin(), hosts_.end(), [&](const SimulatedHost& host) { return host.worker() == worker; });
}

void Simulation::probe(size_t process, const ProbeWorkers& probe)
{
    later(network, [this, process, workers = probe.workers_, life = processes_[process].life_] {
        OffersCollected offers;
        for (const WorkerName& worker : workers) {
            if (hostOf(worker).isReachable(now_) && !(now_ < lossUntil_ && chance(40)))
                offers.offers_.push_back(hostOf(worker).probe(now_));
        }
        later(network, [this, process, life, offers] { deliver(process, life, offers); });
    });
}

void Simulation::start(size_t process, const SendStart& send)
{
    uint64_t life = processes_[process].life_;
    auto answer = [this, process, life, task = send.task_, attempt = send.order_.attempt_](auto outcome) {
        tell(process, StartAnswered { task, attempt, outcome }, network);
    };
    if (now_ < lossUntil_ && chance(20))
        return answer(OrderNotSent {});
    if (now_ < chaosUntil_ && chance(30))
        later(std::chrono::seconds(15), [this, send] {
            if (hostOf(send.worker_).isReachable(now_))
                hostOf(send.worker_).start(send.order_, now_, facts_);
        });
    later(network, [this, send, answer] {
        SimulatedHost& host = hostOf(send.worker_);
        if (!host.isReachable(now_) || (now_ < lossUntil_ && chance(30)))
            return answer(OrderUnknown {});
        auto outcome = host.start(send.order_, now_, facts_);
        if (now_ < lossUntil_ && chance(30))
            return answer(OrderUnknown {});
        std::visit([&](const auto& item) { answer(item); }, outcome);
    });
}

void Simulation::stop(size_t process, const SendStop& send)
{
    later(network, [this, process, send, life = processes_[process].life_] {
        SimulatedHost& host = hostOf(send.worker_);
        std::optional<hosting::StopOutcome> outcome;
        if (host.isReachable(now_) && !(now_ < lossUntil_ && chance(30)))
            outcome = host.stop(send.order_, now_);
        later(network, [=, this] { deliver(process, life, StopAnswered { send.task_, send.order_.attempt_, outcome }); });
    });
}

void Simulation::renew(size_t process, const SendRenewal& send)
{
    auto execute = [this, process, send, life = processes_[process].life_] {
        SimulatedHost& host = hostOf(send.worker_);
        std::optional<hosting::RenewalAnswer> answer;
        if (host.isReachable(now_) && !(now_ < lossUntil_ && chance(30)))
            answer = host.renew(send.renewal_, now_);
        later(network, [=, this] {
            if (answer)
                deliver(process, life, RenewalAnswered { send.worker_, send.sentAt_, send.renewal_.digest_, *answer });
            else
                deliver(process, life, RenewalFailed { send.worker_ });
        });
    };
    later(network, execute);
    if (now_ < chaosUntil_ && chance(30))
        later(std::chrono::seconds(15), execute);
}

void Simulation::snapshot(size_t process, const StoreSnapshot& request)
{
    std::string object = snapshotObject(partition, processes_[process].owner_->identity().epoch_, request.through_);
    std::string bytes = encodeSnapshot(processes_[process].owner_->ledger());
    store::Transaction cut = cutTransaction(partition, processes_[process].fence_, { object, request.through_ }, Sequence(1));
    later(std::chrono::milliseconds(150), [=, this, life = processes_[process].life_] {
        bool stored = now_ >= storeDownUntil_;
        if (stored) {
            objects_[object] = bytes;
            stored = std::holds_alternative<store::Committed>(table_.apply(cut));
        }
        later(network, [=, this] { deliver(process, life, SnapshotStored { request.through_, stored }); });
    });
}

} // namespace persimmondoor::jobs::simulation
