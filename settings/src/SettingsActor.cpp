#include "persimmondoor/settings/SettingsActor.h"

#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::settings {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16384;

namespace {

    class SettingsLoop {
    public:
        SettingsLoop(Clock clock, InForceListener listener, Mailbox<SettingsActor::Message> mailbox)
            : clock_(std::move(clock))
            , listener_(std::move(listener))
            , mailbox_(std::move(mailbox))
        {
        }

        static asio::awaitable<void> run(std::shared_ptr<SettingsLoop> self)
        {
            for (;;) {
                SettingsActor::Message message = co_await self->mailbox_.receive();
                std::visit([&](const auto& alternative) { self->handle(alternative); }, message);
            }
        }

    private:
        void handle(const SubtreesReceived& message)
        {
            isKnown_ = true;
            TreeDecision decision = decide(std::move(tree_), message);
            tree_ = std::move(decision.state_);
            for (const InForce& change : decision.actions_) {
                logInfo("settings.in_force", { { "subtree", change.subtree_.name_.value() }, { "revision", std::to_string(change.subtree_.revision_.value()) } });
                listener_(change, tree_.digest());
            }
        }

        void handle(const SettingsActor::SnapshotRequest& message) { message.reply_.send(Snapshot { tree_, isKnown_, distribution_.processes() }); }

        void handle(const SettingsActor::HintRequest& message)
        {
            DistributionDecision decision = decide(std::move(distribution_), message.announcement_, tree_.digest(), now(clock_));
            distribution_ = std::move(decision.state_);
            message.reply_.send(decision.hint_);
        }

        Clock clock_;
        InForceListener listener_;
        Mailbox<SettingsActor::Message> mailbox_;
        Tree tree_;
        bool isKnown_ { false };
        Distribution distribution_;
    };

} // namespace

SettingsActor::SettingsActor(const asio::any_io_executor& executor, Clock clock, InForceListener listener)
    : mailbox_(executor, mailboxCapacity)
{
    auto loop = std::make_shared<SettingsLoop>(std::move(clock), std::move(listener), mailbox_);
    spawnActor(executor, "settings", SettingsLoop::run(loop));
}

bool SettingsActor::apply(std::vector<Subtree> subtrees) const
{
    return mailbox_.tryPost(SubtreesReceived { std::move(subtrees) });
}

asio::awaitable<Snapshot> SettingsActor::snapshot() const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<Snapshot> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(SnapshotRequest { reply }))
        co_return Snapshot();
    co_return co_await reply.receive();
}

asio::awaitable<Hint> SettingsActor::handle(DigestAnnouncement announcement) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<Hint> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(HintRequest { std::move(announcement), reply }))
        co_return AskAgain {};
    co_return co_await reply.receive();
}

} // namespace persimmondoor::settings
