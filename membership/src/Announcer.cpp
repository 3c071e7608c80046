#include "persimmondoor/membership/Announcer.h"

#include "Codec.h"
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

static asio::awaitable<absl::StatusOr<ViewAnswer>> keepAlive(rpc::Link link, KeptAlive message, settings::Digest digest)
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

static asio::awaitable<void> postDue(Mailbox<Announcer::Message> mailbox, Duration delay)
{
    co_await sleepFor(delay);
    Announcer::Message due = Announcer::Due {};
    co_await mailbox.post(due);
}

namespace {

    // Keeps one entry told of the worker.
    class EntryTeller {
    public:
        EntryTeller(rpc::Link link, Announcement announcement, HintListener listener)
            : link_(std::move(link))
            , announcement_(std::move(announcement))
            , listener_(std::move(listener))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<EntryTeller> self, Mailbox<Announcer::Message> mailbox)
        {
            asio::any_io_executor executor = co_await asio::this_coro::executor;
            bool isDue = true;
            for (;;) {
                if (isDue) {
                    Duration wait = co_await self->tell();
                    spawn(executor, "announcer tick", postDue(mailbox, wait));
                }
                Announcer::Message message = co_await mailbox.receive();
                isDue = std::holds_alternative<Announcer::Due>(message);
                if (!isDue) {
                    std::visit([&](const auto& alternative) { self->take(alternative); }, message);
                    co_await self->tell();
                }
            }
        }

    private:
        void take(const Announcer::Due&) { }
        void take(const Announcer::Report& message) { digest_ = message.digest_; }
        void take(const Announcer::Leave&)
        {
            announcement_.leaving_ = true;
            isKnown_ = false;
        }

        // Tells the entry what it lacks and returns the time until the next message.
        asio::awaitable<Duration> tell()
        {
            // The time numbers the messages to all entries, so that one entry's knowledge compares with another's.
            Instant time = now(clock_);
            announcement_.sequence_ = Sequence(static_cast<uint64_t>((time - start_).count()) + 1);
            KeptAlive keptAlive { announcement_.worker_, announcement_.incarnation_, announcement_.sequence_ };
            absl::StatusOr<ViewAnswer> answer = absl::UnknownError("");
            if (isKnown_)
                answer = co_await keepAlive(link_, std::move(keptAlive), digest_);
            else
                answer = co_await announceTo(link_, announcement_, digest_);
            if (!answer.ok()) {
                logDebug("membership.entry_unreachable", { { "entry", link_.address().text() }, { "error", std::string(answer.status().message()) } });
                isKnown_ = false;
                co_return announceRetryInterval;
            }
            if (listener_)
                listener_(link_.address(), answer->settings_);
            bool asksForAll = isKnown_ && !answer->isKnown_;
            isKnown_ = answer->isKnown_;
            if (asksForAll)
                co_return Duration(0);
            // Newer settings are there, but their holders were busy.
            bool lacksSettings = std::holds_alternative<settings::AskAgain>(answer->settings_);
            co_return lacksSettings ? announceRetryInterval : std::max(answer->interval_, announceRetryInterval);
        }

        rpc::Link link_;
        Announcement announcement_;
        HintListener listener_;
        settings::Digest digest_ { 0 };
        Clock clock_ = SteadyClock();
        Instant start_ = now(clock_);
        bool isKnown_ { false };
    };

} // namespace

Announcer::Announcer(const asio::any_io_executor& executor, const std::vector<Address>& entries, const Announcement& announcement, const HintListener& listener)
{
    for (const Address& entry : entries) {
        Mailbox<Message> mailbox(executor, mailboxCapacity);
        auto teller = std::make_shared<EntryTeller>(rpc::Link(executor, entry), announcement, listener);
        spawn(executor, "announcer", teller->run(teller, mailbox));
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
