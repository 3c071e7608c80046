#include "persimmondoor/jobs/JobsActor.h"

#include "Codec.h"
#include "Effects.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::jobs {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16'384;
static constexpr Duration tickInterval = std::chrono::milliseconds(100);
// Interval between reads of the failure domains' rows. Starts do not depend on it, as their transactions have conditions on
// the rows; a drain begins within this time.
static constexpr Duration domainReadInterval = std::chrono::seconds(2);

namespace {

    // A partition that this process owns. `owner_` is empty while the partition is being recovered and after the owner has
    // resigned.
    struct Partition {
        PartitionOwnership ownership_;
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
            deliverToAll(listWorkers());
        }

        void handle(JobsActor::OwnershipChanged& message)
        {
            std::visit(Visitor {
                           [this](const leases::Gained& gained) { startRecovery(gained); },
                           [this](const leases::Lost& lost) { dropPartition(lost.partition_); },
                           [this](const leases::Extended& extended) {
                               horizonUntil_ = extended.horizonUntil_;
                               deliverToAll(HorizonExtended { extended.horizonUntil_ });
                           },
                       },
                message.change_);
        }

        void startRecovery(const leases::Gained& gained)
        {
            PartitionOwnership ownership { gained.partition_, gained.epoch_, gained.version_ };
            partitions_.insert_or_assign(gained.partition_, Partition { ownership, gained.horizon_, std::nullopt });
            spawn(executor_, "recovery", recoverPartition(mailbox_, environment_.table_, environment_.objects_, ownership));
            scheduleTick();
        }

        // Pending requests are not answered; their callers time out.
        void dropPartition(PartitionNumber partition)
        {
            partitions_.erase(partition);
            logInfo("jobs.partition_lost", { { "partition", std::to_string(partition.value()) } });
        }

        void handle(JobsActor::PartitionRecovered& message)
        {
            Partition* partition = find(message.partition_, message.epoch_);
            if (!partition || partition->owner_)
                return;
            logInfo("jobs.partition_recovered",
                { { "partition", std::to_string(message.partition_.value()) }, { "live_tasks", std::to_string(message.recovered_.ledger_.liveTasks()) } });
            OwnerIdentity identity { message.partition_, message.epoch_, message.recovered_.nextBatch_, message.recovered_.batchesSinceSnapshot_, partition->horizon_ };
            partition->owner_ = Owner::create(identity, std::move(message.recovered_.ledger_), now(clock_));
            deliver(*partition, listWorkers());
            deliver(*partition, QuotasChanged { environment_.quotas_ });
            deliver(*partition, DomainsRead { domains_ });
            deliver(*partition, HorizonExtended { horizonUntil_ });
        }

        void handle(JobsActor::MessageForOwner& message)
        {
            Partition* partition = find(message.partition_, message.epoch_);
            if (partition && partition->owner_)
                deliver(*partition, message.message_);
        }

        void handle(JobsActor::DomainRowsRead& message)
        {
            domains_ = std::move(message.domains_);
            deliverToAll(DomainsRead { domains_ });
        }

        void handle(JobsActor::QuotasSet& message)
        {
            environment_.quotas_ = std::move(message.quotas_);
            deliverToAll(QuotasChanged { environment_.quotas_ });
        }

        void handle(JobsActor::Tick&)
        {
            isTickPending_ = false;
            deliverToAll(TimePassed {});
            if (!partitions_.empty() && now(clock_) >= nextDomainsRead_) {
                nextDomainsRead_ = now(clock_) + domainReadInterval;
                spawn(executor_, "domains", readDomainRows(mailbox_, environment_.table_));
            }
            scheduleTick();
        }

        void handle(JobsActor::RequestReceived& message)
        {
            auto found = partitions_.find(message.partition_);
            if (found == partitions_.end() || !found->second.owner_)
                return message.reply_.send(NotOwner {});
            Partition& partition = found->second;
            const Owner& owner = *partition.owner_;
            std::visit(Visitor {
                           [&](const SubmitJob& submit) { deliver(partition, SubmitRequested { registerReply(message.reply_), submit.spec_ }); },
                           [&](const CancelJobs& cancel) { deliver(partition, CancelRequested { registerReply(message.reply_), cancel.jobs_ }); },
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

        Ticket registerReply(const Reply<JobsAnswer>& reply)
        {
            lastTicket_ = lastTicket_.next();
            replies_.emplace(lastTicket_, std::make_pair(now(clock_), reply));
            // Drops replies whose callers have timed out.
            while (now(clock_) - replies_.begin()->second.first > 2 * requestTimeout)
                replies_.erase(replies_.begin());
            return lastTicket_;
        }

        Partition* find(PartitionNumber number, Epoch epoch)
        {
            auto found = partitions_.find(number);
            return found == partitions_.end() || found->second.ownership_.epoch_ != epoch ? nullptr : &found->second;
        }

        void deliverToAll(const OwnerMessage& message)
        {
            for (auto& [number, partition] : partitions_) {
                if (partition.owner_)
                    deliver(partition, message);
            }
        }

        void deliver(Partition& partition, const OwnerMessage& message)
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
            spawn(executor_, "journal", commitBatch(mailbox_, environment_.table_, partition.ownership_, std::move(action)));
        }

        void perform(const Partition& partition, const ReadBatch& action)
        {
            spawn(executor_, "journal", readBack(mailbox_, environment_.table_, partition.ownership_, action.sequence_));
        }

        void perform(const Partition& partition, const StoreSnapshot& action)
        {
            spawn(executor_, "snapshot",
                storeSnapshot(mailbox_, environment_.table_, environment_.objects_, partition.ownership_, action.through_, encodeSnapshot(partition.owner_->ledger())));
        }

        void perform(const Partition& partition, ProbeWorkers& action)
        {
            std::vector<rpc::Link> links;
            for (const WorkerName& worker : action.workers_)
                links.push_back(links_.at(worker));
            spawn(executor_, "probe", probeWorkers(executor_, mailbox_, partition.ownership_, std::move(links), std::move(action.order_)));
        }

        template <typename Action, typename Send>
        void sendOrder(const Partition& partition, Action& action, Send send, OwnerMessage answerWithoutLink)
        {
            auto link = links_.find(action.worker_);
            if (link == links_.end())
                spawn(executor_, "order", postWithRetry(mailbox_, JobsActor::MessageForOwner { partition.ownership_.partition_, partition.ownership_.epoch_, std::move(answerWithoutLink) }));
            else
                spawn(executor_, "order", send(mailbox_, partition.ownership_, link->second, std::move(action)));
        }

        void perform(const Partition& partition, SendStart& action)
        {
            sendOrder(partition, action, sendStart, StartAnswered { action.task_, action.order_.attempt_, OrderNotSent {} });
        }

        void perform(const Partition& partition, SendStop& action)
        {
            sendOrder(partition, action, sendStop, StopAnswered { action.task_, action.order_.attempt_, std::nullopt });
        }

        void perform(const Partition& partition, SendRenewal& action)
        {
            sendOrder(partition, action, sendRenewal, RenewalFailed { action.worker_ });
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
            logWarning("jobs.partition_has_another_owner", { { "partition", std::to_string(partition.ownership_.partition_.value()) } });
        }

        // Schedules the next tick while the process owns partitions, so that an idle process does not wake up.
        void scheduleTick()
        {
            if (isTickPending_ || partitions_.empty())
                return;
            isTickPending_ = true;
            spawn(executor_, "jobs tick", tick(mailbox_));
        }

        static asio::awaitable<void> tick(JobsMailbox mailbox)
        {
            co_await sleepFor(tickInterval);
            JobsActor::Message message = JobsActor::Tick {};
            co_await postWithRetry(mailbox, std::move(message));
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
        bool isTickPending_ { false };
    };

} // namespace

JobsActor JobsActor::create(const asio::any_io_executor& executor, Clock clock, JobsEnvironment environment)
{
    JobsMailbox mailbox(executor, mailboxCapacity);
    auto loop = std::make_shared<JobsLoop>(executor, std::move(clock), std::move(environment), mailbox);
    spawnActor(executor, "jobs", loop->run(loop));
    return { executor, std::move(mailbox) };
}

void JobsActor::handleOwnershipChange(const leases::OwnershipChange& change) const
{
    if (!mailbox_.tryPost(OwnershipChanged { change }))
        spawn(executor_, "jobs ownership", postWithRetry(mailbox_, OwnershipChanged { change }));
}

void JobsActor::setQuotas(std::map<TeamName, Resources> quotas) const
{
    spawn(executor_, "jobs quotas", postWithRetry(mailbox_, QuotasSet { std::move(quotas) }));
}

void JobsActor::setWorkers(std::vector<WorkerAddress> workers) const
{
    spawn(executor_, "jobs workers", postWithRetry(mailbox_, WorkersSet { std::move(workers) }));
}

static asio::awaitable<absl::StatusOr<JobsAnswer>> receiveAnswer(Reply<JobsAnswer> reply)
{
    co_return co_await reply.receive();
}

asio::awaitable<JobsAnswer> JobsActor::ask(PartitionNumber partition, JobsRequest request) const
{
    JobsMailbox mailbox = mailbox_;
    Reply<JobsAnswer> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(RequestReceived { partition, std::move(request), reply }))
        co_return NotAccepted { "the mailbox for job requests is full; retry later" };
    auto answer = co_await withTimeout(receiveAnswer(reply), requestTimeout);
    co_return answer.ok() ? *std::move(answer) : JobsAnswer(OutcomeUnknown {});
}

} // namespace persimmondoor::jobs
