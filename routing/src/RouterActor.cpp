#include "persimmondoor/routing/RouterActor.h"

#include "persimmondoor/admission/Client.h"
#include "persimmondoor/core/Coroutine.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::routing {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16384;

namespace {

    class RouterLoop {
    public:
        RouterLoop(asio::any_io_executor executor, Clock clock, uint32_t seed, Mailbox<RouterActor::Message> mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , router_(seed)
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
        void handle(const RouterMessage& message) { apply(message); }

        void handle(RouterActor::Submit& message)
        {
            Route route { message.request_.id_, message.request_.service_ };
            if (!pending_.emplace(route.id_, message).second) {
                message.reply_.send(NotRun { NotRunReason::DuplicateRequest, "a request of this id is under way" });
                return;
            }
            apply(route);
        }

        void handle(RouterActor::AgentAnswered& message)
        {
            apply(Answered { message.id_, message.endpoint_, message.answer_.load_ });
            finish(message.id_, std::move(message.answer_.outcome_));
        }

        void apply(const RouterMessage& message)
        {
            RouterDecision decision = decide(std::move(router_), message, now(clock_));
            router_ = std::move(decision.state_);
            for (const RouterAction& action : decision.actions_)
                std::visit([this](const auto& alternative) { perform(alternative); }, action);
        }

        void perform(const SendTo& action)
        {
            admission::ServiceRequest request = pending_.at(action.id_).request_;
            request.endpoint_ = action.endpoint_;
            request.tier_ = action.tier_;
            if (request.timeLeft_ == Duration(0))
                request.timeLeft_ = action.deadline_;
            spawn(executor_, "route", send(mailbox_, linkTo(action.agent_), std::move(request)));
        }

        void perform(const Reject& action) { finish(action.id_, NotRun { action.reason_, action.detail_ }); }

        static asio::awaitable<void> send(Mailbox<RouterActor::Message> mailbox, rpc::Link link, admission::ServiceRequest request)
        {
            RequestId id = request.id_;
            EndpointName endpoint = request.endpoint_;
            admission::ServiceAnswer answer = co_await admission::serveAt(std::move(link), std::move(request));
            mailbox.tryPost(RouterActor::AgentAnswered { std::move(id), std::move(endpoint), std::move(answer) });
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

        asio::any_io_executor executor_;
        Clock clock_;
        Router router_;
        Mailbox<RouterActor::Message> mailbox_;
        std::map<RequestId, RouterActor::Submit> pending_;
        std::map<Address, rpc::Link> links_;
    };

} // namespace

RouterActor::RouterActor(const asio::any_io_executor& executor, Clock clock, uint32_t seed)
    : mailbox_(executor, mailboxCapacity)
{
    auto loop = std::make_shared<RouterLoop>(executor, std::move(clock), seed, mailbox_);
    spawn(executor, "router", loop->run(loop));
}

bool RouterActor::learn(RouterMessage message) const
{
    return mailbox_.tryPost(std::move(message));
}

asio::awaitable<RequestOutcome> RouterActor::route(admission::ServiceRequest request) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<RequestOutcome> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(Submit { std::move(request), reply }))
        co_return NotRun { NotRunReason::QueueFull, "the entry's mailbox is full" };
    co_return co_await reply.receive();
}

} // namespace persimmondoor::routing
