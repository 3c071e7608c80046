#include "persimmondoor/membership/ViewActor.h"

#include "Codec.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::membership {

namespace asio = boost::asio;

// Messages that wait while the actor is busy; beyond it announcements and keepalives are dropped.
static constexpr size_t mailboxCapacity = 16384;
static constexpr Duration expiryCheckInterval = std::chrono::seconds(1);

static constexpr Duration changesTimeout = std::chrono::seconds(2);
static constexpr Duration peerRetryInterval = std::chrono::seconds(1);

namespace {

    class ViewLoop {
    public:
        ViewLoop(Clock clock, ViewListener listener)
            : clock_(std::move(clock))
            , listener_(std::move(listener))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<ViewLoop> self, Mailbox<ViewActor::Message> mailbox)
        {
            for (;;) {
                ViewActor::Message message = co_await mailbox.receive();
                std::vector<ViewAction> actions = std::visit([&](auto& alternative) { return self->handle(alternative); }, message);
                for (ViewAction& action : actions)
                    co_await listener_(std::move(action));
            }
        }

    private:
        std::vector<ViewAction> handle(const ViewMessage& message)
        {
            ViewDecision decision = decide(std::move(view_), message, now(clock_));
            view_ = std::move(decision.state_);
            return std::move(decision.actions_);
        }

        std::vector<ViewAction> handle(const ViewActor::AgentMessage& message)
        {
            std::vector<ViewAction> actions = handle(message.message_);
            auto member = view_.members().find(message.worker_);
            Address agentAddress = member == view_.members().end() ? Address() : member->second.announcement_.rpcAddress_;
            message.reply_.send({ view_.isKnown(message.worker_, message.incarnation_), keepAliveInterval(view_.presentCount()), std::move(agentAddress), {} });
            return actions;
        }

        std::vector<ViewAction> handle(const ViewActor::AskChanges& message)
        {
            uint64_t after = message.entryIncarnation_ == entryIncarnation_ ? message.version_ : 0;
            message.reply_.send({ entryIncarnation_, view_.version(), view_.changesAfter(after) });
            return {};
        }

        Clock clock_;
        ViewListener listener_;
        View view_;
        uint64_t entryIncarnation_ { static_cast<uint64_t>(wallMilliseconds()) };
    };

} // namespace

static asio::awaitable<void> postExpiryChecks(Mailbox<ViewActor::Message> mailbox)
{
    bool open = true;
    while (open) {
        co_await sleepFor(expiryCheckInterval);
        ViewActor::Message due = ViewMessage(ExpiryCheckDue {});
        open = co_await mailbox.post(std::move(due));
    }
}

ViewActor::ViewActor(const asio::any_io_executor& executor, Clock clock, ViewListener listener)
    : executor_(executor)
    , mailbox_(executor, mailboxCapacity)
{
    auto loop = std::make_shared<ViewLoop>(std::move(clock), std::move(listener));
    spawnActor(executor, "membership view", loop->run(loop, mailbox_));
    spawn(executor, "membership expiry check", postExpiryChecks(mailbox_));
}

asio::awaitable<ViewAnswer> ViewActor::handle(ViewMessage message, WorkerName worker, Incarnation incarnation) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<ViewAnswer> reply(executor_);
    if (!mailbox.tryPost(AgentMessage { std::move(message), std::move(worker), incarnation, reply })) {
        logWarning("membership.mailbox_full", {});
        co_return ViewAnswer { false, keepAliveInterval(0), {}, {} };
    }
    co_return co_await reply.receive();
}

asio::awaitable<ViewChanges> ViewActor::changes(uint64_t entryIncarnation, uint64_t version) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<ViewChanges> reply(executor_);
    Message message = AskChanges { entryIncarnation, version, reply };
    bool posted = co_await mailbox.post(std::move(message));
    if (!posted)
        co_return ViewChanges {};
    co_return co_await reply.receive();
}

asio::awaitable<void> ViewActor::post(ViewMessage message) const
{
    Mailbox<Message> mailbox = mailbox_;
    Message wrapped = std::move(message);
    co_await mailbox.post(std::move(wrapped));
}

namespace {

    class MembershipServer final : public wire::Membership::Server {
    public:
        MembershipServer(ViewActor view, HintSource hints)
            : view_(std::move(view))
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
            return rpc::promiseOf(view_.executor(), answerAnnouncement(view_, hints_, *std::move(announcement), context));
        }

        kj::Promise<void> keepAlive(KeepAliveContext context) override
        {
            auto worker = WorkerName::create(context.getParams().getWorker().cStr());
            if (!worker.ok())
                return kj::READY_NOW;
            KeepAlive message { *worker, Incarnation(context.getParams().getIncarnation()), Sequence(context.getParams().getSequence()) };
            return rpc::promiseOf(view_.executor(), answerKeepAlive(view_, hints_, std::move(message), context));
        }

        kj::Promise<void> changes(ChangesContext context) override
        {
            return rpc::promiseOf(view_.executor(), answerChanges(view_, context));
        }

    private:
        // Only agents of present workers receive a hint; a leaving worker needs no newer settings.
        static asio::awaitable<settings::Hint> askForHint(HintSource hints, WorkerName worker, ViewAnswer answer, settings::Digest digest)
        {
            if (!hints || !answer.isKnown_)
                co_return settings::UpToDate {};
            settings::DigestAnnouncement announcement { ProcessName::of(worker.value()), answer.agentAddress_, digest };
            co_return co_await hints(std::move(announcement));
        }

        static asio::awaitable<void> answerAnnouncement(ViewActor view, HintSource hints, Announcement announcement, AnnounceContext context)
        {
            WorkerName worker = announcement.worker_;
            Incarnation incarnation = announcement.incarnation_;
            ViewMessage message = Announced { std::move(announcement) };
            ViewAnswer answer = co_await view.handle(std::move(message), worker, incarnation);
            answer.settingsHint_ = co_await askForHint(std::move(hints), std::move(worker), answer, context.getParams().getSettingsDigest());
            encode(answer, context.getResults().initAnswer());
        }

        static asio::awaitable<void> answerKeepAlive(ViewActor view, HintSource hints, KeepAlive keepAliveMessage, KeepAliveContext context)
        {
            WorkerName worker = keepAliveMessage.worker_;
            Incarnation incarnation = keepAliveMessage.incarnation_;
            ViewMessage message = std::move(keepAliveMessage);
            ViewAnswer answer = co_await view.handle(std::move(message), worker, incarnation);
            answer.settingsHint_ = co_await askForHint(std::move(hints), std::move(worker), answer, context.getParams().getSettingsDigest());
            encode(answer, context.getResults().initAnswer());
        }

        static asio::awaitable<void> answerChanges(ViewActor view, ChangesContext context)
        {
            ViewChanges changes = co_await view.changes(context.getParams().getLife(), context.getParams().getAfter());
            auto results = context.getResults();
            results.setLife(changes.entryIncarnation_);
            results.setVersion(changes.version_);
            auto members = results.initMembers(static_cast<unsigned>(changes.members_.size()));
            for (unsigned index = 0; index < members.size(); ++index) {
                encode(changes.members_[index].announcement_, members[index].initAnnouncement());
                members[index].setPresent(changes.members_[index].isPresent_);
            }
        }

        ViewActor view_;
        HintSource hints_;
    };

} // namespace

void offerMembership(rpc::Interfaces& interfaces, ViewActor view, HintSource hints)
{
    interfaces.add("membership", kj::heap<MembershipServer>(std::move(view), std::move(hints)));
}

static std::vector<PeerMember> decodeMembers(capnp::List<wire::Member>::Reader wire)
{
    std::vector<PeerMember> members;
    for (auto item : wire) {
        auto announcement = decode(item.getAnnouncement());
        if (announcement.ok())
            members.push_back({ *std::move(announcement), item.getPresent() });
    }
    return members;
}

static asio::awaitable<absl::StatusOr<std::vector<PeerMember>>> requestMembers(rpc::Link link)
{
    auto found = co_await link.find("membership");
    if (!found.ok())
        co_return found.status();
    auto request = found->castAs<wire::Membership>().changesRequest();
    co_return co_await rpc::call(
        request.send(), [](auto& response) { return decodeMembers(response.getMembers()); }, changesTimeout);
}

static asio::awaitable<void> fetchMembersFrom(ViewActor view, rpc::Link link)
{
    for (;;) {
        auto members = co_await requestMembers(link);
        if (members.ok()) {
            for (PeerMember& member : *members) {
                ViewMessage message = std::move(member);
                co_await view.post(std::move(message));
            }
            logInfo("membership.learned_from_peer", { { "peer", link.address().text() }, { "members", std::to_string(members->size()) } });
            co_return;
        }
        co_await sleepFor(peerRetryInterval);
    }
}

void fetchMembersFromPeers(ViewActor view, const std::vector<Address>& peers)
{
    for (const Address& peer : peers)
        spawn(view.executor(), "membership peer", fetchMembersFrom(view, rpc::Link(view.executor(), peer)));
}

} // namespace persimmondoor::membership
