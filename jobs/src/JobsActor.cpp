#include "persimmondoor/jobs/JobsActor.h"

#include "Codec.h"
#include "Effects.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::jobs {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16'384;
static constexpr Duration tickInterval = std::chrono::milliseconds(100);
// Time between two reads of the failure domains' rows. A start does not rest on them, as its transaction has a condition
// on the row; planned stops begin after it.
static constexpr Duration domainsInterval = std::chrono::seconds(2);

namespace {

    // A partition that this process owns. Without `owner_` its recovery is under way.
    struct Partition {
        Holding holding_;
        Duration horizon_ { 0 };
        std::optional<Owner> owner_;
    };

    class JobsLoop {
    public:
        JobsLoop(asio::any_io_executor executor, Clock clock, JobsEnvironment environment, JobsMailbox mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , environment_(std::move(environment))
            , mailbox_(std::move(mailbox))
        {
            linkWorkers();
        }

        asio::awaitable<void> run(std::shared_ptr<JobsLoop>)
        {
            while (true) {
                JobsActor::Message message = co_await mailbox_.receive();
                std::visit([this](auto& alternative) { handle(alternative); }, message);
            }
        }

    private:
        void linkWorkers()
        {
            for (const WorkerAddress& worker : environment_.workers_) {
                auto link = links_.find(worker.worker_.site_.worker_);
                if (link == links_.end() || link->second.address() != worker.address_)
                    links_.insert_or_assign(worker.worker_.site_.worker_, rpc::Link(executor_, worker.address_));
            }
        }

        WorkersListed listWorkers() const
        {
            WorkersListed list;
            for (const WorkerAddress& worker : environment_.workers_)
                list.workers_.push_back(worker.worker_);
            return list;
        }

        void handle(JobsActor::WorkersSet& message)
        {
            environment_.workers_ = std::move(message.workers_);
            linkWorkers();
            tellAll(listWorkers());
        }

        void handle(JobsActor::OwnershipChanged& message)
        {
            std::visit(Visitor {
                           [this](const leases::Gained& gained) { begin(gained); },
                           [this](const leases::Lost& lost) { end(lost.partition_); },
                           [this](const leases::Extended& extended) {
                               horizonUntil_ = extended.horizonUntil_;
                               tellAll(HorizonExtended { extended.horizonUntil_ });
                           },
                       },
                message.change_);
        }

        void begin(const leases::Gained& gained)
        {
            Holding holding { gained.partition_, gained.epoch_, gained.version_ };
            partitions_.insert_or_assign(gained.partition_, Partition { holding, gained.horizon_, std::nullopt });
            spawn(executor_, "recovery", recoverPartition(mailbox_, environment_.table_, environment_.objects_, holding));
            startTicks();
        }

        // Requests under way get no answer from the owner any more; those who ask see a timeout.
        void end(PartitionNumber partition)
        {
            partitions_.erase(partition);
            logInfo("jobs.partition_lost", { { "partition", std::to_string(partition.value()) } });
        }

        void handle(JobsActor::Recovery& message)
        {
            Partition* partition = find(message.partition_, message.epoch_);
            if (!partition || partition->owner_)
                return;
            logInfo("jobs.partition_recovered",
                { { "partition", std::to_string(message.partition_.value()) }, { "live_tasks", std::to_string(message.recovered_.ledger_.liveTasks()) } });
            OwnerIdentity identity { message.partition_, message.epoch_, message.recovered_.next_, message.recovered_.batches_, partition->horizon_ };
            partition->owner_ = Owner::create(identity, std::move(message.recovered_.ledger_), now(clock_));
            tell(*partition, listWorkers());
            tell(*partition, QuotasChanged { environment_.quotas_ });
            tell(*partition, DomainsRead { domains_ });
            tell(*partition, HorizonExtended { horizonUntil_ });
        }

        void handle(JobsActor::ForOwner& message)
        {
            Partition* partition = find(message.partition_, message.epoch_);
            if (partition && partition->owner_)
                tell(*partition, message.message_);
        }

        void handle(JobsActor::DomainsSeen& message)
        {
            domains_ = std::move(message.domains_);
            tellAll(DomainsRead { domains_ });
        }

        void handle(JobsActor::QuotasSet& message)
        {
            environment_.quotas_ = std::move(message.quotas_);
            tellAll(QuotasChanged { environment_.quotas_ });
        }

        void handle(JobsActor::Tick&)
        {
            ticking_ = false;
            tellAll(TimePassed {});
            if (!partitions_.empty() && now(clock_) >= nextDomainsRead_) {
                nextDomainsRead_ = now(clock_) + domainsInterval;
                spawn(executor_, "domains", readDomainRows(mailbox_, environment_.table_));
            }
            startTicks();
        }

        void handle(JobsActor::Asked& message)
        {
            auto found = partitions_.find(message.partition_);
            if (found == partitions_.end() || !found->second.owner_)
                return message.reply_.send(NotOwner {});
            Partition& partition = found->second;
            const Owner& owner = *partition.owner_;
            std::visit(Visitor {
                           [&](const SubmitJob& submit) { tell(partition, SubmitRequested { take(message.reply_), submit.spec_ }); },
                           [&](const CancelJobs& cancel) { tell(partition, CancelRequested { take(message.reply_), cancel.jobs_ }); },
                           [&](const ListJobs& list) { message.reply_.send(listJobs(owner, list.team_)); },
                           [&](const ShowJob& show) {
                               if (const Job* job = owner.ledger().find(show.job_))
                                   message.reply_.send(describeJob(owner, *job, now(clock_)));
                               else
                                   message.reply_.send(NoSuchJob { show.job_ });
                           },
                       },
                message.request_);
        }

        Ticket take(const Reply<JobsAnswer>& reply)
        {
            lastTicket_ = lastTicket_.next();
            replies_.emplace(lastTicket_, std::make_pair(now(clock_), reply));
            // Those who asked have given up by then.
            while (now(clock_) - replies_.begin()->second.first > 2 * requestTimeout)
                replies_.erase(replies_.begin());
            return lastTicket_;
        }

        Partition* find(PartitionNumber number, Epoch epoch)
        {
            auto found = partitions_.find(number);
            return found == partitions_.end() || found->second.holding_.epoch_ != epoch ? nullptr : &found->second;
        }

        void tellAll(const OwnerMessage& message)
        {
            for (auto& [number, partition] : partitions_) {
                if (partition.owner_)
                    tell(partition, message);
            }
        }

        void tell(Partition& partition, const OwnerMessage& message)
        {
            OwnerDecision decision = decide(*std::move(partition.owner_), message, { now(clock_), wallMilliseconds() });
            partition.owner_ = std::move(decision.state_);
            for (OwnerAction& action : decision.actions_)
                std::visit([&](auto& alternative) { perform(partition, alternative); }, action);
            if (partition.owner_->isResigned())
                partition.owner_.reset();
        }

        void perform(const Partition& partition, CommitBatch& action)
        {
            spawn(executor_, "journal", commitBatch(mailbox_, environment_.table_, partition.holding_, std::move(action)));
        }

        void perform(const Partition& partition, const ReadBatch& action)
        {
            spawn(executor_, "journal", readBack(mailbox_, environment_.table_, partition.holding_, action.sequence_));
        }

        void perform(const Partition& partition, const StoreSnapshot& action)
        {
            spawn(executor_, "snapshot",
                storeSnapshot(mailbox_, environment_.table_, environment_.objects_, partition.holding_, action.through_, encodeSnapshot(partition.owner_->ledger())));
        }

        void perform(const Partition& partition, ProbeWorkers& action)
        {
            std::vector<rpc::Link> links;
            for (const WorkerName& worker : action.workers_)
                links.push_back(links_.at(worker));
            spawn(executor_, "probe", probeWorkers(executor_, mailbox_, partition.holding_, std::move(links), std::move(action.order_)));
        }

        template <typename Action, typename Send>
        void order(const Partition& partition, Action& action, Send send, OwnerMessage withoutLink)
        {
            auto link = links_.find(action.worker_);
            if (link == links_.end())
                spawn(executor_, "order", postSurely(mailbox_, JobsActor::ForOwner { partition.holding_.partition_, partition.holding_.epoch_, std::move(withoutLink) }));
            else
                spawn(executor_, "order", send(mailbox_, partition.holding_, link->second, std::move(action)));
        }

        void perform(const Partition& partition, SendStart& action)
        {
            order(partition, action, sendStart, StartAnswered { action.task_, action.order_.attempt_, OrderNotSent {} });
        }

        void perform(const Partition& partition, SendStop& action)
        {
            order(partition, action, sendStop, StopAnswered { action.task_, action.order_.attempt_, std::nullopt });
        }

        void perform(const Partition& partition, SendRenewal& action)
        {
            order(partition, action, sendRenewal, RenewalFailed { action.worker_ });
        }

        void perform(const Partition&, AnswerRequest& action)
        {
            auto waiting = replies_.find(action.ticket_);
            if (waiting == replies_.end())
                return;
            std::visit([&](auto& result) { waiting->second.second.send(std::move(result)); }, action.result_);
            replies_.erase(waiting);
        }

        void perform(const Partition& partition, const Resign&)
        {
            logWarning("jobs.partition_has_another_owner", { { "partition", std::to_string(partition.holding_.partition_.value()) } });
        }

        // Ticks only while partitions are here, so that an idle process does nothing.
        void startTicks()
        {
            if (ticking_ || partitions_.empty())
                return;
            ticking_ = true;
            spawn(executor_, "jobs tick", tick(mailbox_));
        }

        static asio::awaitable<void> tick(JobsMailbox mailbox)
        {
            co_await sleepFor(tickInterval);
            JobsActor::Message message = JobsActor::Tick {};
            co_await postSurely(mailbox, std::move(message));
        }

        asio::any_io_executor executor_;
        Clock clock_;
        JobsEnvironment environment_;
        JobsMailbox mailbox_;
        std::map<WorkerName, rpc::Link> links_;
        std::map<PartitionNumber, Partition> partitions_;
        std::vector<DomainState> domains_;
        std::map<Ticket, std::pair<Instant, Reply<JobsAnswer>>> replies_;
        Ticket lastTicket_;
        Instant horizonUntil_;
        Instant nextDomainsRead_;
        bool ticking_ { false };
    };

} // namespace

JobsActor JobsActor::create(const asio::any_io_executor& executor, Clock clock, JobsEnvironment environment)
{
    JobsMailbox mailbox(executor, mailboxCapacity);
    auto loop = std::make_shared<JobsLoop>(executor, std::move(clock), std::move(environment), mailbox);
    spawn(executor, "jobs", loop->run(loop));
    return { executor, std::move(mailbox) };
}

void JobsActor::handleOwnershipChange(const leases::OwnershipChange& change) const
{
    if (!mailbox_.tryPost(OwnershipChanged { change }))
        spawn(executor_, "jobs ownership", postSurely(mailbox_, OwnershipChanged { change }));
}

void JobsActor::setQuotas(std::map<TeamName, Resources> quotas) const
{
    spawn(executor_, "jobs quotas", postSurely(mailbox_, QuotasSet { std::move(quotas) }));
}

void JobsActor::setWorkers(std::vector<WorkerAddress> workers) const
{
    spawn(executor_, "jobs workers", postSurely(mailbox_, WorkersSet { std::move(workers) }));
}

static asio::awaitable<absl::StatusOr<JobsAnswer>> receiveAnswer(Reply<JobsAnswer> reply)
{
    co_return co_await reply.receive();
}

asio::awaitable<JobsAnswer> JobsActor::ask(PartitionNumber partition, JobsRequest request) const
{
    JobsMailbox mailbox = mailbox_;
    Reply<JobsAnswer> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(Asked { partition, std::move(request), reply }))
        co_return NotAccepted { "the process has too much to do; try again later" };
    auto answer = co_await withTimeout(receiveAnswer(reply), requestTimeout);
    co_return answer.ok() ? *std::move(answer) : JobsAnswer(OutcomeUnknown {});
}

} // namespace persimmondoor::jobs
