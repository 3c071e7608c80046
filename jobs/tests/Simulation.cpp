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
static constexpr uint32_t recoverySteps = 9000;
static constexpr Duration networkDelay = std::chrono::milliseconds(30);

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
        // Long outages are simulated in longer steps, to save time.
        step(storeDownUntil_ - now_ > std::chrono::minutes(1) ? Duration(std::chrono::seconds(2)) : tick);
    }
    storeDownUntil_ = lateWritesUntil_ = messageLossUntil_ = duplicationUntil_ = now_;
    repliesToLose_ = 0;
    for (uint32_t domain = 0; domain < 3; ++domain)
        setDomain(domain, true);
    for (uint32_t count = 0; count < recoverySteps && !failure_ && !allEnded(); ++count)
        step(tick);
    if (!failure_ && !allEnded())
        fail(concat("unfinished work after the faults: ", durable_.liveTasks(), " live tasks"));
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
        repeatSubmissions();
    for (size_t index = 0; index < processes_.size(); ++index)
        deliver(index, processes_[index].incarnation_, TimePassed {});
    check();
}

void Simulation::heartbeat()
{
    bool storeUp = now_ >= storeDownUntil_;
    for (size_t index = 0; index < processes_.size(); ++index) {
        Process& process = processes_[index];
        if (!process.owner_ || !owns(index) || now_ < process.pausedUntil_)
            continue;
        // The owner's lease runs down only while the store is up, as other processes observe the owner through the store.
        lastOwned_ = now_;
        if (storeUp) {
            deliver(index, process.incarnation_, HorizonExtended { now_ + horizon });
            std::vector<DomainState> domains = readDomains(table_.scan({ std::string(domainPrefix), "", 100 }));
            if (chance(20))
                deliverLater(index, DomainsRead { domains }, networkDelay);
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
    ++process.incarnation_;
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
    process.owner_ = Owner::create({ partition, epoch_, recovered->nextBatch_, recovered->batchesSinceSnapshot_, first ? Duration(0) : horizon }, recovered->ledger_, now_);
    std::vector<KnownWorker> workers;
    for (const SimulatedHost& host : hosts_)
        workers.push_back({ { host.worker(), RackName::of("rack"), host.domain() }, host.probe(now_).capacity_ });
    deliver(index, process.incarnation_, WorkersListed { workers });
    deliver(index, process.incarnation_, QuotasChanged { { { TeamName::of("team"), *Resources::create(1'000'000, 1'000'000'000'000, 10) } } });
    deliver(index, process.incarnation_, DomainsRead { readDomains(table_.scan({ std::string(domainPrefix), "", 100 })) });
    deliver(index, process.incarnation_, HorizonExtended { now_ + horizon });
}

void Simulation::deliver(size_t index, uint64_t incarnation, const OwnerMessage& message)
{
    Process& process = processes_[index];
    if (process.incarnation_ != incarnation || !process.owner_ || failure_)
        return;
    if (now_ < process.pausedUntil_) {
        if (!std::holds_alternative<TimePassed>(message))
            pending_.emplace(process.pausedUntil_, [this, index, incarnation, message] { deliver(index, incarnation, message); });
        return;
    }
    OwnerDecision decision = decide(*std::move(process.owner_), message, { now_, now_.microseconds() / 1000 });
    process.owner_ = std::move(decision.state_);
    for (const OwnerAction& action : decision.actions_)
        perform(index, action);
    if (process.owner_ && process.owner_->isResigned())
        process.owner_.reset();
}

void Simulation::schedule(Duration maximumDelay, std::function<void()> work)
{
    Duration wait(random_() % static_cast<uint64_t>(maximumDelay.count()) + 1);
    if (now_ < duplicationUntil_ && chance(20))
        wait += Duration(random_() % 12'000'000);
    pending_.emplace(now_ + wait, std::move(work));
}

void Simulation::deliverLater(size_t process, OwnerMessage message, Duration maximumDelay)
{
    uint64_t incarnation = processes_[process].incarnation_;
    schedule(maximumDelay, [this, process, incarnation, message = std::move(message)] { deliver(process, incarnation, message); });
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
                       auto asked = ticketJobs_.find(item.ticket_);
                       if (asked == ticketJobs_.end() || !std::holds_alternative<Accepted>(item.result_))
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
            recordDurable(batch);
        return outcome;
    };
    schedule(std::chrono::milliseconds(150), [this, process, sequence, execute, incarnation = processes_[process].incarnation_] {
        auto answer = [&](JournalMessage message) {
            schedule(networkDelay, [this, process, incarnation, message] { deliver(process, incarnation, JournalAnswered { message }); });
        };
        if (now_ < storeDownUntil_)
            return answer(BatchRefused { sequence });
        if (now_ < lateWritesUntil_ && chance(50)) {
            schedule(std::chrono::seconds(8), [execute] { execute(); });
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
    schedule(networkDelay, [this, process, sequence = read.sequence_, incarnation = processes_[process].incarnation_] {
        if (now_ < storeDownUntil_)
            return schedule(networkDelay, [=, this] { deliver(process, incarnation, JournalAnswered { ReadBackFailed { sequence } }); });
        store::Row row = table_.read(journalKey(partition, sequence));
        std::vector<DomainState> domains = readDomains(table_.scan({ std::string(domainPrefix), "", 100 }));
        BatchReadBack answer { sequence, owns(process), std::nullopt, {} };
        if (row.version_ != store::RowVersion())
            answer.row_ = *decodeBatch(row.value_);
        for (const DomainState& domain : domains) {
            if (!domain.inService_)
                answer.closedDomains_.insert(domain.domain_);
        }
        schedule(networkDelay, [this, process, incarnation, answer, domains] {
            deliver(process, incarnation, DomainsRead { domains });
            deliver(process, incarnation, JournalAnswered { answer });
        });
    });
}

SimulatedHost& Simulation::hostOf(const WorkerName& worker)
{
    return *std::find_if(hosts_.begin(), hosts_.end(), [&](const SimulatedHost& host) { return host.worker() == worker; });
}

void Simulation::probe(size_t process, const ProbeWorkers& probe)
{
    schedule(networkDelay, [this, process, workers = probe.workers_, incarnation = processes_[process].incarnation_] {
        OffersCollected offers;
        for (const WorkerName& worker : workers) {
            if (hostOf(worker).isReachable(now_) && !(now_ < messageLossUntil_ && chance(40)))
                offers.offers_.push_back(hostOf(worker).probe(now_));
        }
        schedule(networkDelay, [this, process, incarnation, offers] { deliver(process, incarnation, offers); });
    });
}

void Simulation::start(size_t process, const SendStart& send)
{
    uint64_t incarnation = processes_[process].incarnation_;
    auto answer = [this, process, incarnation, task = send.task_, attempt = send.order_.attempt_](auto outcome) {
        deliverLater(process, StartAnswered { task, attempt, outcome }, networkDelay);
    };
    if (now_ < messageLossUntil_ && chance(20))
        return answer(OrderNotSent {});
    if (now_ < duplicationUntil_ && chance(30))
        schedule(std::chrono::seconds(15), [this, send] {
            if (hostOf(send.worker_).isReachable(now_))
                hostOf(send.worker_).start(send.order_, now_, observedStarts_);
        });
    schedule(networkDelay, [this, send, answer] {
        SimulatedHost& host = hostOf(send.worker_);
        if (!host.isReachable(now_) || (now_ < messageLossUntil_ && chance(30)))
            return answer(OrderOutcomeUnknown {});
        auto outcome = host.start(send.order_, now_, observedStarts_);
        if (now_ < messageLossUntil_ && chance(30))
            return answer(OrderOutcomeUnknown {});
        std::visit([&](const auto& item) { answer(item); }, outcome);
    });
}

void Simulation::stop(size_t process, const SendStop& send)
{
    schedule(networkDelay, [this, process, send, incarnation = processes_[process].incarnation_] {
        SimulatedHost& host = hostOf(send.worker_);
        std::optional<hosting::StopOutcome> outcome;
        if (host.isReachable(now_) && !(now_ < messageLossUntil_ && chance(30)))
            outcome = host.stop(send.order_, now_);
        schedule(networkDelay, [=, this] { deliver(process, incarnation, StopAnswered { send.task_, send.order_.attempt_, outcome }); });
    });
}

void Simulation::renew(size_t process, const SendRenewal& send)
{
    auto execute = [this, process, send, incarnation = processes_[process].incarnation_] {
        SimulatedHost& host = hostOf(send.worker_);
        std::optional<hosting::RenewalAnswer> answer;
        if (host.isReachable(now_) && !(now_ < messageLossUntil_ && chance(30)))
            answer = host.renew(send.renewal_, now_);
        schedule(networkDelay, [=, this] {
            if (answer)
                deliver(process, incarnation, RenewalAnswered { send.worker_, send.sentAt_, send.renewal_.digest_, *answer });
            else
                deliver(process, incarnation, RenewalFailed { send.worker_ });
        });
    };
    schedule(networkDelay, execute);
    if (now_ < duplicationUntil_ && chance(30))
        schedule(std::chrono::seconds(15), execute);
}

void Simulation::snapshot(size_t process, const StoreSnapshot& request)
{
    std::string object = snapshotObject(partition, processes_[process].owner_->identity().epoch_, request.through_);
    std::string bytes = encodeSnapshot(processes_[process].owner_->ledger());
    store::Transaction cut = snapshotTransaction(partition, processes_[process].fence_, { object, request.through_ }, Sequence(1));
    schedule(std::chrono::milliseconds(150), [=, this, incarnation = processes_[process].incarnation_] {
        bool stored = now_ >= storeDownUntil_;
        if (stored) {
            objects_[object] = bytes;
            stored = std::holds_alternative<store::Committed>(table_.apply(cut));
        }
        schedule(networkDelay, [=, this] { deliver(process, incarnation, SnapshotStored { request.through_, stored }); });
    });
}

} // namespace persimmondoor::jobs::simulation
