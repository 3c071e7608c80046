#include "Effects.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/hosting/Client.h"

namespace persimmondoor::jobs {

namespace asio = boost::asio;

// Time-out of the offers of one round of probes; late offers are ignored.
static constexpr Duration offerTimeout = std::chrono::milliseconds(250);

using OfferResult = absl::StatusOr<hosting::HostOffer>;

static asio::awaitable<void> probeOne(Mailbox<OfferResult> results, rpc::Link link, hosting::ProbeOrder order)
{
    results.tryPost(co_await hosting::probeHost(std::move(link), std::move(order)));
}

static asio::awaitable<absl::StatusOr<OfferResult>> receiveOne(Mailbox<OfferResult> results)
{
    co_return co_await results.receive();
}

asio::awaitable<void> probeWorkers(asio::any_io_executor executor, JobsMailbox mailbox, PartitionOwnership ownership, std::vector<rpc::Link> links, hosting::ProbeOrder order)
{
    Mailbox<OfferResult> results(executor, links.size());
    for (const rpc::Link& link : links)
        spawn(executor, "probe", probeOne(results, link, order));
    OffersCollected offers;
    Clock clock = SteadyClock();
    Instant end = now(clock) + offerTimeout;
    for (size_t answers = 0; answers < links.size() && now(clock) < end; ++answers) {
        auto result = co_await withTimeout(receiveOne(results), end - now(clock));
        if (!result.ok())
            break;
        if (result->ok())
            offers.offers_.push_back(**std::move(result));
    }
    JobsActor::Message posted = JobsActor::MessageForOwner { ownership.partition_, ownership.epoch_, std::move(offers) };
    co_await postWithRetry(mailbox, std::move(posted));
}

asio::awaitable<void> sendStart(JobsMailbox mailbox, PartitionOwnership ownership, rpc::Link link, SendStart send)
{
    StartAnswered answer { send.task_, send.order_.attempt_, OrderOutcomeUnknown {} };
    auto outcome = co_await hosting::startTask(std::move(link), std::move(send.order_));
    if (outcome.ok())
        std::visit([&](auto& alternative) { answer.outcome_ = std::move(alternative); }, *outcome);
    else if (absl::IsAborted(outcome.status()))
        answer.outcome_ = OrderNotSent {};
    JobsActor::Message posted = JobsActor::MessageForOwner { ownership.partition_, ownership.epoch_, std::move(answer) };
    co_await postWithRetry(mailbox, std::move(posted));
}

asio::awaitable<void> sendStop(JobsMailbox mailbox, PartitionOwnership ownership, rpc::Link link, SendStop send)
{
    StopAnswered answer { send.task_, send.order_.attempt_, std::nullopt };
    auto outcome = co_await hosting::stopTask(std::move(link), std::move(send.order_));
    if (outcome.ok())
        answer.outcome_ = *std::move(outcome);
    JobsActor::Message posted = JobsActor::MessageForOwner { ownership.partition_, ownership.epoch_, std::move(answer) };
    co_await postWithRetry(mailbox, std::move(posted));
}

asio::awaitable<void> sendRenewal(JobsMailbox mailbox, PartitionOwnership ownership, rpc::Link link, SendRenewal send)
{
    uint64_t digest = send.renewal_.digest_;
    auto answer = co_await hosting::renewTasks(std::move(link), std::move(send.renewal_));
    OwnerMessage message = RenewalFailed { send.worker_ };
    if (answer.ok())
        message = RenewalAnswered { send.worker_, send.sentAt_, digest, *std::move(answer) };
    JobsActor::Message posted = JobsActor::MessageForOwner { ownership.partition_, ownership.epoch_, std::move(message) };
    co_await postWithRetry(mailbox, std::move(posted));
}

} // namespace persimmondoor::jobs
