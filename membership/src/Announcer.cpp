#include "persimmondoor/membership/Announcer.h"

#include "Codec.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/rpc/Link.h"

#include <algorithm>

namespace persimmondoor::membership {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16;
static constexpr Duration announceTimeout = std::chrono::seconds(1);

static asio::awaitable<absl::StatusOr<ViewAnswer>> announceTo(rpc::Link link, Announcement announcement, settings::Digest digest)
{
    auto found = co_await link.find("membership");
    if (!found.ok())
        co_return found.status();
    auto request = found->castAs<wire::Membership>().announceRequest();
    encode(announcement, request.initAnnouncement());
    request.setSettingsDigest(digest);
    co_return co_await rpc::call(
        request.send(), [](auto& response) { return decode(response.getAnswer()); }, announceTimeout);
}

static asio::awaitable<absl::StatusOr<ViewAnswer>> keepAlive(rpc::Link link, KeepAlive message, settings::Digest digest)
{
    auto found = co_await link.find("membership");
    if (!found.ok())
        co_return found.status();
    auto request = found->castAs<wire::Membership>().keepAliveRequest();
    request.setWorker(message.worker_.value());
    request.setIncarnation(message.incarnation_.value());
    request.setSequence(message.sequence_.value());
    request.setSettingsDigest(digest);
    co_return co_await rpc::call(
        request.send(), [](auto& response) { return decode(response.getAnswer()); }, announceTimeout);
}

static asio::awaitable<void> postTick(Mailbox<Announcer::Message> mailbox, Duration delay)
{
    co_await sleepFor(delay);
    Announcer::Message tick = Announcer::Tick {};
    co_await mailbox.post(tick);
}

namespace {

    // Sends the announcements and keepalives of the worker to one entry.
    class EntryAnnouncer {
    public:
        EntryAnnouncer(rpc::Link link, Announcement announcement, HintListener listener)
            : link_(std::move(link))
            , announcement_(std::move(announcement))
            , listener_(std::move(listener))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<EntryAnnouncer> self, Mailbox<Announcer::Message> mailbox)
        {
            asio::any_io_executor executor = co_await asio::this_coro::executor;
            bool isDue = true;
            for (;;) {
                if (isDue) {
                    Duration wait = co_await self->sendUpdate();
                    spawn(executor, "announcer tick", postTick(mailbox, wait));
                }
                Announcer::Message message = co_await mailbox.receive();
                isDue = std::holds_alternative<Announcer::Tick>(message);
                if (!isDue) {
                    std::visit([&](const auto& alternative) { self->handle(alternative); }, message);
                    co_await self->sendUpdate();
                }
            }
        }

    private:
        void handle(const Announcer::Tick&) { }
        void handle(const Announcer::Report& message) { digest_ = message.digest_; }
        void handle(const Announcer::Leave&)
        {
            announcement_.isLeaving_ = true;
            isKnownToEntry_ = false;
        }

        // Sends a keepalive if the entry knows the worker, else the announcement, and returns the time until the next
        // message.
        asio::awaitable<Duration> sendUpdate()
        {
            // Sequence numbers follow the time and not a count of messages per entry, so that the announcements which
            // different entries hold can be compared.
            Instant time = now(clock_);
            announcement_.sequence_ = Sequence(static_cast<uint64_t>((time - startedAt_).count()) + 1);
            KeepAlive keepAliveMessage { announcement_.worker_, announcement_.incarnation_, announcement_.sequence_ };
            absl::StatusOr<ViewAnswer> answer = absl::UnknownError("");
            if (isKnownToEntry_)
                answer = co_await keepAlive(link_, std::move(keepAliveMessage), digest_);
            else
                answer = co_await announceTo(link_, announcement_, digest_);
            if (!answer.ok()) {
                logDebug("membership.entry_unreachable", { { "entry", link_.address().text() }, { "error", std::string(answer.status().message()) } });
                isKnownToEntry_ = false;
                co_return announceRetryInterval;
            }
            if (listener_)
                listener_(link_.address(), answer->settingsHint_);
            bool needsAnnouncement = isKnownToEntry_ && !answer->isKnown_;
            isKnownToEntry_ = answer->isKnown_;
            if (needsAnnouncement)
                co_return Duration(0);
            // Newer settings exist, but all sources of them are busy.
            bool mustAskAgain = std::holds_alternative<settings::AskAgain>(answer->settingsHint_);
            co_return mustAskAgain ? announceRetryInterval : std::max(answer->keepAliveInterval_, announceRetryInterval);
        }

        rpc::Link link_;
        Announcement announcement_;
        HintListener listener_;
        settings::Digest digest_ { 0 };
        Clock clock_ = SteadyClock();
        Instant startedAt_ = now(clock_);
        bool isKnownToEntry_ { false };
    };

} // namespace

Announcer::Announcer(const asio::any_io_executor& executor, const std::vector<Address>& entries, const Announcement& announcement, const HintListener& listener)
{
    for (const Address& entry : entries) {
        Mailbox<Message> mailbox(executor, mailboxCapacity);
        auto entryAnnouncer = std::make_shared<EntryAnnouncer>(rpc::Link(executor, entry), announcement, listener);
        spawnActor(executor, "announcer", entryAnnouncer->run(entryAnnouncer, mailbox));
        mailboxes_.push_back(std::move(mailbox));
    }
}

void Announcer::report(settings::Digest digest) const
{
    for (const Mailbox<Message>& mailbox : mailboxes_)
        mailbox.tryPost(Report { digest });
}

void Announcer::leave() const
{
    for (const Mailbox<Message>& mailbox : mailboxes_)
        mailbox.tryPost(Leave {});
}

void Announcer::stop() const
{
    for (const Mailbox<Message>& mailbox : mailboxes_)
        mailbox.close();
}

} // namespace persimmondoor::membership
