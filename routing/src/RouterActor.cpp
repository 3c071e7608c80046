#include "persimmondoor/routing/RouterActor.h"

#include "persimmondoor/admission/Client.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>
#include <set>

namespace persimmondoor::routing {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16384;

namespace {

    // A caller's request, the outcome of its last attempt and the signal that cancels the current attempt.
    struct Pending {
        admission::ServiceRequest request_;
        Reply<RequestOutcome> reply_;
        RequestOutcome lastOutcome_;
        std::shared_ptr<asio::cancellation_signal> cancel_;
    };

    class RouterLoop {
    public:
        RouterLoop(asio::any_io_executor executor, Clock clock, RouterOptions options, Mailbox<RouterActor::Message> mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , router_(options)
            , mailbox_(std::move(mailbox))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<RouterLoop> self)
        {
            for (;;) {
                RouterActor::Message message = co_await mailbox_.receive();
                std::visit([&](auto& alternative) { self->handle(alternative); }, message);
            }
        }

    private:
        void handle(const RouterMessage& message)
        {
            apply(message);
            if (std::holds_alternative<membership::WorkerGone>(message))
                dropUnusedLinks();
        }

        void handle(RouterActor::Submit& message)
        {
            const admission::ServiceRequest& request = message.request_;
            Route route { request.id_, request.service_, request.tier_, request.idempotent_, request.timeLeft_ };
            if (pending_.size() >= maximumPending) {
                message.reply_.send(NotRun { NotRunReason::QueueFull, "the entry has reached its limit of requests in flight" });
                return;
            }
            if (!pending_.try_emplace(route.id_, Pending { std::move(message.request_), message.reply_, {}, nullptr }).second) {
                message.reply_.send(NotRun { NotRunReason::DuplicateRequest, "a request with this id is already in flight" });
                return;
            }
            apply(route);
        }

        void handle(const RouterActor::Cancel& message)
        {
            auto found = pending_.find(message.id_);
            if (found == pending_.end())
                return;
            if (found->second.cancel_)
                found->second.cancel_->emit(asio::cancellation_type::terminal);
            pending_.erase(found);
            apply(Cancelled { message.id_ });
        }

        void handle(RouterActor::AgentAnswered& message)
        {
            auto found = pending_.find(message.id_);
            if (found == pending_.end())
                return;
            Answered answered { message.id_, message.endpoint_, message.answer_.load_, AnswerKind::Done, NotRunReason::Unspecified };
            if (const auto* notRun = std::get_if<NotRun>(&message.answer_.outcome_)) {
                answered.kind_ = AnswerKind::NotRun;
                answered.reason_ = notRun->reason_;
            }
            if (std::holds_alternative<Unknown>(message.answer_.outcome_))
                answered.kind_ = AnswerKind::Unknown;
            found->second.lastOutcome_ = std::move(message.answer_.outcome_);
            found->second.cancel_.reset();
            apply(answered);
        }

        void handle(const RouterActor::AskEndpoints& message) { message.reply_.send(router_.candidates()); }

        void apply(const RouterMessage& message)
        {
            RouterDecision decision = decide(std::move(router_), message, now(clock_));
            router_ = std::move(decision.state_);
            for (const RouterAction& action : decision.actions_)
                std::visit([this](const auto& alternative) { perform(alternative); }, action);
        }

        void perform(const SendTo& action)
        {
            Pending& pending = pending_.at(action.id_);
            admission::ServiceRequest request = pending.request_;
            request.endpoint_ = action.endpoint_;
            request.tier_ = action.tier_;
            request.timeLeft_ = action.timeLeft_;
            pending.cancel_ = std::make_shared<asio::cancellation_signal>();
            // The completion handler keeps the signal alive for as long as the coroutine may be cancelled.
            auto onEnd = [signal = pending.cancel_](const std::exception_ptr&) {};
            asio::co_spawn(executor_, send(mailbox_, linkTo(action.agent_), std::move(request)), asio::bind_cancellation_slot(pending.cancel_->slot(), onEnd));
        }

        void perform(const Reject& action) { finish(action.id_, NotRun { action.reason_, action.detail_ }); }

        void perform(const Deliver& action)
        {
            RequestOutcome& outcome = pending_.at(action.id_).lastOutcome_;
            if (action.mayHaveRun_ && std::holds_alternative<NotRun>(outcome))
                outcome = Unknown { "an earlier attempt may have run" };
            finish(action.id_, std::move(outcome));
        }

        static asio::awaitable<void> send(Mailbox<RouterActor::Message> mailbox, rpc::Link link, admission::ServiceRequest request)
        {
            RequestId id = request.id_;
            EndpointName endpoint = request.endpoint_;
            admission::ServiceAnswer answer { Unknown { "the call to the agent failed" }, {} };
            try {
                answer = co_await admission::serveAt(std::move(link), std::move(request));
            } catch (const std::exception& failure) {
                // If the attempt was cancelled, the next wait ends the coroutine.
                answer.outcome_ = Unknown { failure.what() };
            }
            RouterActor::Message answered = RouterActor::AgentAnswered { std::move(id), std::move(endpoint), std::move(answer) };
            co_await mailbox.post(std::move(answered));
        }

        void finish(const RequestId& id, RequestOutcome outcome)
        {
            auto found = pending_.find(id);
            found->second.reply_.send(std::move(outcome));
            pending_.erase(found);
        }

        rpc::Link linkTo(const Address& address)
        {
            auto found = links_.find(address);
            if (found == links_.end())
                found = links_.emplace(address, rpc::Link(executor_, address)).first;
            return found->second;
        }

        // A request in flight keeps its own handle to the link.
        void dropUnusedLinks()
        {
            std::set<Address> used;
            for (const auto& [name, candidate] : router_.candidates())
                used.insert(candidate.agent_);
            std::erase_if(links_, [&](const auto& item) { return !used.contains(item.first); });
        }

        asio::any_io_executor executor_;
        Clock clock_;
        Router router_;
        Mailbox<RouterActor::Message> mailbox_;
        std::map<RequestId, Pending> pending_;
        std::map<Address, rpc::Link> links_;
    };

} // namespace

RouterActor::RouterActor(const asio::any_io_executor& executor, Clock clock, RouterOptions options)
    : mailbox_(executor, mailboxCapacity)
{
    auto loop = std::make_shared<RouterLoop>(executor, std::move(clock), options, mailbox_);
    spawnActor(executor, "router", loop->run(loop));
}

bool RouterActor::tryUpdate(RouterMessage message) const
{
    return mailbox_.tryPost(std::move(message));
}

asio::awaitable<bool> RouterActor::update(RouterMessage message) const
{
    Mailbox<Message> mailbox = mailbox_;
    Message wrapped = std::move(message);
    co_return co_await mailbox.post(std::move(wrapped));
}

asio::awaitable<RequestOutcome> RouterActor::route(admission::ServiceRequest request) const
{
    Mailbox<Message> mailbox = mailbox_;
    RequestId id = request.id_;
    Reply<RequestOutcome> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(Submit { std::move(request), reply }))
        co_return NotRun { NotRunReason::QueueFull, "the entry's mailbox is full" };
    try {
        co_return co_await reply.receive();
    } catch (const boost::system::system_error&) {
        // The caller no longer waits.
        mailbox.tryPost(Cancel { std::move(id) });
        throw;
    }
}

asio::awaitable<std::map<EndpointName, Candidate>> RouterActor::endpoints() const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<std::map<EndpointName, Candidate>> reply(co_await asio::this_coro::executor);
    Message message = AskEndpoints { reply };
    bool posted = co_await mailbox.post(std::move(message));
    if (!posted)
        co_return std::map<EndpointName, Candidate>();
    co_return co_await reply.receive();
}

} // namespace persimmondoor::routing
