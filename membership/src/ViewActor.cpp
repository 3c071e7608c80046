#include "persimmondoor/membership/ViewActor.h"

#include "Codec.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

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
        explicit MembershipServer(ViewActor view)
            : view_(std::move(view))
        {
        }

        kj::Promise<void> announce(AnnounceContext context) override
        {
            auto announcement = decode(context.getParams().getAnnouncement());
            if (announcement.ok())
                view_.announce(*std::move(announcement));
            else
                logWarning("membership.bad_announcement", { { "error", std::string(announcement.status().message()) } });
            return kj::READY_NOW;
        }

    private:
        ViewActor view_;
    };

} // namespace

void offerMembership(rpc::Interfaces& interfaces, ViewActor view)
{
    interfaces.add("membership", kj::heap<MembershipServer>(std::move(view)));
}

} // namespace persimmondoor::membership
