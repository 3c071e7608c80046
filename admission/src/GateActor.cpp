#include "persimmondoor/admission/GateActor.h"

#include "BackendPool.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>
#include <map>
#include <optional>

namespace persimmondoor::admission {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 4096;
static constexpr Duration deadlineCheckInterval = std::chrono::milliseconds(20);
// Longest time past its deadline for which a running request keeps its slot. The exchange is then ended by closing the
// connection.
static constexpr Duration abandonedSlotLimit = std::chrono::seconds(5);

namespace {

    // A request whose sender has not been answered.
    struct PendingRequest {
        ServiceRequest request_;
        Reply<ServiceAnswer> reply_;
        Instant deadline_;
    };

    class GateLoop {
    public:
        GateLoop(asio::any_io_executor executor, Clock clock, Gate gate, const std::vector<LocalEndpoint>& endpoints, Mailbox<GateActor::Message> mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , gate_(std::move(gate))
            , mailbox_(std::move(mailbox))
        {
            for (const LocalEndpoint& endpoint : endpoints)
                pools_.emplace(endpoint.capacity_.endpoint_, std::make_shared<BackendPool>(executor_, endpoint.address_, endpoint.capacity_.connections_));
        }

        asio::awaitable<void> run(std::shared_ptr<GateLoop> self)
        {
            for (;;) {
                GateActor::Message message = co_await mailbox_.receive();
                std::visit([&](auto& alternative) { self->handle(alternative); }, message);
                self->answerDrains(false);
            }
        }

    private:
        void handle(GateActor::Serve& message)
        {
            Instant deadline = now(clock_) + message.request_.timeLeft_;
            Arrived arrived { message.request_.id_, message.request_.endpoint_, message.request_.tier_, deadline };
            std::vector<GateAction> actions = step(arrived);
            if (!actions.empty() && std::holds_alternative<AnswerDuplicate>(actions.front())) {
                message.reply_.send({ Unknown { "duplicate request: a request with the same id is in flight or has finished" }, gate_.load(arrived.endpoint_) });
                return;
            }
            pending_.insert_or_assign(arrived.id_, PendingRequest { std::move(message.request_), message.reply_, deadline });
            perform(actions);
            scheduleTick();
        }

        void handle(const GateActor::Cancel& message)
        {
            apply(Cancelled { message.id_ });
            pending_.erase(message.id_);
        }

        void handle(GateActor::ExchangeEnded& message)
        {
            apply(Finished { message.id_, !std::holds_alternative<NotRun>(message.outcome_) });
            answer(message.id_, std::move(message.outcome_));
        }

        void handle(const GateActor::Tick&)
        {
            isTickScheduled_ = false;
            apply(DeadlineCheckDue {});
            scheduleTick();
        }

        void handle(GateActor::Drain& message)
        {
            drainReplies_.push_back(message.unfinished_);
            apply(DrainBegan {});
            spawn(executor_, "gate drain", postLater(mailbox_, GateActor::DrainTimedOut {}, message.limit_));
        }

        void handle(const GateActor::DrainTimedOut&) { answerDrains(true); }

        void handle(GateActor::AskLoad& message) { message.reply_.send(gate_.load(message.endpoint_)); }

        std::vector<GateAction> step(const GateMessage& message)
        {
            GateDecision decision = decide(std::move(gate_), message, now(clock_));
            gate_ = std::move(decision.state_);
            return std::move(decision.actions_);
        }

        void apply(const GateMessage& message) { perform(step(message)); }

        void perform(const std::vector<GateAction>& actions)
        {
            for (const GateAction& action : actions)
                std::visit([this](const auto& alternative) { perform(alternative); }, action);
        }

        void perform(const HandOver& action)
        {
            PendingRequest& pending = pending_.at(action.id_);
            ServiceRequest& request = pending.request_;
            Duration limit = pending.deadline_ - now(clock_) + abandonedSlotLimit;
            http::Request message { std::move(request.method_), std::move(request.target_), std::move(request.headers_), std::move(request.body_) };
            spawn(executor_, "exchange", exchange(mailbox_, action.id_, pools_.at(action.endpoint_), std::move(message), limit));
        }

        void perform(const Refuse& action) { answer(action.id_, NotRun { action.reason_, "" }); }

        void perform(const Abandon& action) { answer(action.id_, Unknown { "no answer from the service instance before the deadline" }); }

        // `handle(GateActor::Serve&)` answers a duplicate itself, because an entry of `pending_` under this id belongs to
        // the sender of the first request.
        void perform(const AnswerDuplicate&) { }

        // Answers the sender, unless it has been answered or has cancelled.
        void answer(const RequestId& id, RequestOutcome outcome)
        {
            auto found = pending_.find(id);
            if (found == pending_.end())
                return;
            EndpointLoad load = gate_.load(found->second.request_.endpoint_);
            found->second.reply_.send({ std::move(outcome), load });
            pending_.erase(found);
        }

        static asio::awaitable<void> exchange(Mailbox<GateActor::Message> mailbox, RequestId id, std::shared_ptr<BackendPool> pool, http::Request message, Duration limit)
        {
            http::ExchangeOutcome outcome = http::ExchangeFailure { true, absl::InternalError("HTTP exchange with the service instance ended without a result") };
            try {
                outcome = co_await pool->exchange(id, std::move(message), limit);
            } catch (const std::exception& failure) {
                outcome = http::ExchangeFailure { true, absl::InternalError(failure.what()) };
            }
            RequestOutcome result = std::visit([](auto& alternative) { return toOutcome(alternative); }, outcome);
            GateActor::Message ended = GateActor::ExchangeEnded { std::move(id), std::move(result) };
            co_await mailbox.post(std::move(ended));
        }

        static RequestOutcome toOutcome(http::Response& response)
        {
            if (response.body_.size() > maximumAnswerBytes)
                return Unknown { "response body exceeds 16 MiB, the most that an agent forwards" };
            return Done { response.status_, std::move(response.headers_), std::move(response.body_) };
        }

        static RequestOutcome toOutcome(const http::ExchangeFailure& failure)
        {
            std::string detail(failure.status_.message());
            if (!failure.handedOver_)
                return NotRun { NotRunReason::Unreachable, std::move(detail) };
            return Unknown { std::move(detail) };
        }

        // Deadlines are checked only while requests are pending, so that an idle agent has no timer.
        void scheduleTick()
        {
            if (isTickScheduled_ || pending_.empty())
                return;
            isTickScheduled_ = true;
            spawn(executor_, "gate tick", postLater(mailbox_, GateActor::Tick {}, deadlineCheckInterval));
        }

        // Waits for room in the mailbox, so that the message is never dropped.
        static asio::awaitable<void> postLater(Mailbox<GateActor::Message> mailbox, GateActor::Message message, Duration delay)
        {
            co_await sleepFor(delay);
            co_await mailbox.post(std::move(message));
        }

        void answerDrains(bool hasTimedOut)
        {
            if (!hasTimedOut && gate_.inFlight() > 0)
                return;
            for (const Reply<size_t>& reply : drainReplies_)
                reply.send(gate_.inFlight());
            drainReplies_.clear();
        }

        asio::any_io_executor executor_;
        Clock clock_;
        Gate gate_;
        Mailbox<GateActor::Message> mailbox_;
        std::map<EndpointName, std::shared_ptr<BackendPool>> pools_;
        std::map<RequestId, PendingRequest> pending_;
        std::vector<Reply<size_t>> drainReplies_;
        bool isTickScheduled_ { false };
    };

} // namespace

absl::StatusOr<GateActor> GateActor::create(const asio::any_io_executor& executor, Clock clock, const std::vector<LocalEndpoint>& endpoints)
{
    std::vector<EndpointCapacity> capacities;
    capacities.reserve(endpoints.size());
    for (const LocalEndpoint& endpoint : endpoints)
        capacities.push_back(endpoint.capacity_);
    auto gate = Gate::create(capacities);
    if (!gate.ok())
        return gate.status();
    Mailbox<Message> mailbox(executor, mailboxCapacity);
    auto loop = std::make_shared<GateLoop>(executor, std::move(clock), *std::move(gate), endpoints, mailbox);
    spawnActor(executor, "gate", loop->run(loop));
    return GateActor(std::move(mailbox));
}

asio::awaitable<ServiceAnswer> GateActor::serve(ServiceRequest request) const
{
    Mailbox<Message> mailbox = mailbox_;
    RequestId id = request.id_;
    Reply<ServiceAnswer> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(Serve { std::move(request), reply }))
        co_return ServiceAnswer { NotRun { NotRunReason::QueueFull, "the agent's mailbox is full" }, {} };
    try {
        co_return co_await reply.receive();
    } catch (const boost::system::system_error&) {
        // The coroutine was cancelled while it waited for the answer.
        mailbox.tryPost(Cancel { std::move(id) });
        throw;
    }
}

asio::awaitable<size_t> GateActor::drain(Duration limit) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<size_t> unfinished(co_await asio::this_coro::executor);
    Message message = Drain { limit, unfinished };
    bool posted = co_await mailbox.post(std::move(message));
    if (!posted)
        co_return 0;
    co_return co_await unfinished.receive();
}

asio::awaitable<EndpointLoad> GateActor::load(EndpointName endpoint) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<EndpointLoad> reply(co_await asio::this_coro::executor);
    Message message = AskLoad { std::move(endpoint), reply };
    bool posted = co_await mailbox.post(std::move(message));
    if (!posted)
        co_return EndpointLoad {};
    co_return co_await reply.receive();
}

} // namespace persimmondoor::admission
