#include "persimmondoor/admission/GateActor.h"

#include "BackendPool.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>
#include <map>
#include <optional>

namespace persimmondoor::admission {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 4096;
static constexpr Duration deadlineCheckInterval = std::chrono::milliseconds(20);

namespace {

    // A request that the gate knows and its sender.
    struct Pending {
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
                pools_.emplace(endpoint.capacity_.endpoint_, std::make_shared<BackendPool>(executor_, endpoint.address_));
        }

        asio::awaitable<void> run(std::shared_ptr<GateLoop> self)
        {
            for (;;) {
                GateActor::Message message = co_await mailbox_.receive();
                std::visit([&](auto& alternative) { self->handle(alternative); }, message);
            }
        }

    private:
        void handle(GateActor::Serve& message)
        {
            Instant deadline = now(clock_) + message.request_.timeLeft_;
            Arrived arrived { message.request_.id_, message.request_.endpoint_, message.request_.tier_, deadline };
            if (pending_.contains(arrived.id_)) {
                message.reply_.send({ NotRun { NotRunReason::DuplicateRequest, "the request is already here" }, gate_.load(arrived.endpoint_) });
                return;
            }
            pending_.emplace(arrived.id_, Pending { std::move(message.request_), message.reply_, deadline });
            apply(arrived);
            startTicks();
        }

        void handle(GateActor::ExchangeEnded& message)
        {
            apply(Finished { message.id_ });
            answer(message.id_, std::move(message.outcome_));
            reportDrained();
        }

        void handle(GateActor::Tick&)
        {
            ticking_ = false;
            apply(DeadlinesChecked {});
            startTicks();
        }

        void handle(GateActor::Drain& message)
        {
            drained_ = message.drained_;
            apply(DrainBegan {});
            reportDrained();
        }

        void apply(const GateMessage& message)
        {
            GateDecision decision = decide(std::move(gate_), message, now(clock_));
            gate_ = std::move(decision.state_);
            for (const GateAction& action : decision.actions_)
                std::visit([this](const auto& alternative) { perform(alternative); }, action);
        }

        void perform(const HandOver& action)
        {
            spawn(executor_, "exchange", exchange(action.id_, pools_.at(action.endpoint_), pending_.at(action.id_)));
        }

        void perform(const Refuse& action) { answer(action.id_, NotRun { action.reason_, "" }); }

        void answer(const RequestId& id, RequestOutcome outcome)
        {
            auto found = pending_.find(id);
            EndpointLoad load = gate_.load(found->second.request_.endpoint_);
            found->second.reply_.send({ std::move(outcome), load });
            pending_.erase(found);
        }

        asio::awaitable<void> exchange(RequestId id, std::shared_ptr<BackendPool> pool, Pending pending)
        {
            Mailbox<GateActor::Message> mailbox = mailbox_;
            Duration limit = pending.deadline_ - now(clock_);
            ServiceRequest& request = pending.request_;
            http::Request message { std::move(request.method_), std::move(request.target_), std::move(request.headers_), std::move(request.body_) };
            http::ExchangeOutcome outcome = co_await pool->exchange(std::move(message), limit);
            mailbox.tryPost(GateActor::ExchangeEnded { std::move(id), std::visit([](auto& alternative) { return toOutcome(alternative); }, outcome) });
        }

        static RequestOutcome toOutcome(http::Response& response)
        {
            return Done { response.status_, std::move(response.headers_), std::move(response.body_) };
        }

        static RequestOutcome toOutcome(const http::ExchangeFailure& failure)
        {
            std::string detail(failure.status_.message());
            if (!failure.handedOver_)
                return NotRun { NotRunReason::Unreachable, std::move(detail) };
            return Unknown { std::move(detail) };
        }

        // Deadlines are checked only while requests are here, so that an idle agent does nothing.
        void startTicks()
        {
            if (ticking_ || pending_.empty())
                return;
            ticking_ = true;
            spawn(executor_, "gate tick", tick(mailbox_));
        }

        static asio::awaitable<void> tick(Mailbox<GateActor::Message> mailbox)
        {
            co_await sleepFor(deadlineCheckInterval);
            mailbox.tryPost(GateActor::Tick {});
        }

        void reportDrained()
        {
            if (drained_ && pending_.empty()) {
                drained_->send(true);
                drained_.reset();
            }
        }

        asio::any_io_executor executor_;
        Clock clock_;
        Gate gate_;
        Mailbox<GateActor::Message> mailbox_;
        std::map<EndpointName, std::shared_ptr<BackendPool>> pools_;
        std::map<RequestId, Pending> pending_;
        std::optional<Reply<bool>> drained_;
        bool ticking_ { false };
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
    spawn(executor, "gate", loop->run(loop));
    return GateActor(std::move(mailbox));
}

asio::awaitable<ServiceAnswer> GateActor::serve(ServiceRequest request) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<ServiceAnswer> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(Serve { std::move(request), reply }))
        co_return ServiceAnswer { NotRun { NotRunReason::QueueFull, "the agent's mailbox is full" }, {} };
    co_return co_await reply.receive();
}

asio::awaitable<void> GateActor::drain() const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<bool> drained(co_await asio::this_coro::executor);
    if (mailbox.tryPost(Drain { drained }))
        co_await drained.receive();
}

} // namespace persimmondoor::admission
