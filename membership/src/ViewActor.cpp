#include "persimmondoor/membership/ViewActor.h"

#include "Codec.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/Call.h"

namespace persimmondoor::membership {

namespace asio = boost::asio;

// Announcements held while the actor is busy.
static constexpr size_t mailboxCapacity = 16384;
static constexpr Duration sweepInterval = std::chrono::seconds(1);

static asio::awaitable<void> runView(Mailbox<ViewMessage> mailbox, Clock clock, ViewListener listener)
{
    View state;
    for (;;) {
        ViewMessage message = co_await mailbox.receive();
        ViewDecision decision = decide(std::move(state), message, now(clock));
        state = std::move(decision.state_);
        for (const ViewAction& action : decision.actions_)
            co_await listener(action);
    }
}

static asio::awaitable<void> sweep(Mailbox<ViewMessage> mailbox)
{
    bool open = true;
    while (open) {
        co_await sleepFor(sweepInterval);
        ViewMessage due = Swept {};
        open = co_await mailbox.post(std::move(due));
    }
}

ViewActor::ViewActor(const asio::any_io_executor& executor, Clock clock, ViewListener listener)
    : mailbox_(executor, mailboxCapacity)
{
    spawn(executor, "membership view", runView(mailbox_, std::move(clock), std::move(listener)));
    spawn(executor, "membership sweep", sweep(mailbox_));
}

void ViewActor::announce(Announcement announcement) const
{
    if (!mailbox_.tryPost(Announced { std::move(announcement) }))
        logWarning("membership.mailbox_full", {});
}

namespace {

    class MembershipServer final : public wire::Membership::Server {
    public:
        MembershipServer(asio::any_io_executor executor, ViewActor view, HintSource hints)
            : executor_(std::move(executor))
            , view_(std::move(view))
            , hints_(std::move(hints))
        {
        }

        kj::Promise<void> announce(AnnounceContext context) override
        {
            auto announcement = decode(context.getParams().getAnnouncement());
            if (!announcement.ok()) {
                logWarning("membership.bad_announcement", { { "error", std::string(announcement.status().message()) } });
                return kj::READY_NOW;
            }
            settings::Heard heard { ProcessName::of(announcement->worker_.value()), announcement->rpcAddress_, context.getParams().getSettingsDigest() };
            bool leaving = announcement->leaving_;
            view_.announce(*std::move(announcement));
            if (!hints_ || leaving)
                return kj::READY_NOW;
            return rpc::promiseOf(executor_, answer(hints_, std::move(heard), context));
        }

    private:
        static asio::awaitable<void> answer(HintSource hints, settings::Heard heard, AnnounceContext context)
        {
            settings::Hint hint = co_await hints(std::move(heard));
            encode(hint, context.getResults().initAnswer());
        }

        asio::any_io_executor executor_;
        ViewActor view_;
        HintSource hints_;
    };

} // namespace

void offerMembership(rpc::Interfaces& interfaces, const asio::any_io_executor& executor, ViewActor view, HintSource hints)
{
    interfaces.add("membership", kj::heap<MembershipServer>(executor, std::move(view), std::move(hints)));
}

} // namespace persimmondoor::membership
