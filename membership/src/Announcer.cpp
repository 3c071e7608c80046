#include "persimmondoor/membership/Announcer.h"

#include "Codec.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::membership {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16;
static constexpr Duration announceTimeout = std::chrono::seconds(1);

static asio::awaitable<void> announceTo(rpc::Link link, Announcement announcement, settings::Digest digest, HintListener listener)
{
    auto found = co_await link.find("membership");
    if (!found.ok()) {
        logDebug("membership.entry_unreachable", { { "entry", link.address().text() }, { "error", std::string(found.status().message()) } });
        co_return;
    }
    auto request = found->castAs<wire::Membership>().announceRequest();
    encode(announcement, request.initAnnouncement());
    request.setSettingsDigest(digest);
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decodeHint(response.getAnswer()); }, announceTimeout);
    if (answer.ok() && listener)
        listener(link.address(), *answer);
    if (!answer.ok())
        logDebug("membership.announce_failed", { { "entry", link.address().text() }, { "error", std::string(answer.status().message()) } });
}

Announcer::Announcer(const asio::any_io_executor& executor, std::vector<Address> entries, Announcement announcement, HintListener listener)
    : mailbox_(executor, mailboxCapacity)
{
    spawn(executor, "announcer", run(mailbox_, std::move(entries), std::move(announcement), std::move(listener)));
    spawn(executor, "announcer tick", tick(mailbox_));
}

void Announcer::report(settings::Digest digest) const
{
    mailbox_.tryPost(Report { digest });
}

void Announcer::leave() const
{
    mailbox_.tryPost(Leave {});
}

asio::awaitable<void> Announcer::run(Mailbox<Message> mailbox, std::vector<Address> entries, Announcement announcement, HintListener listener)
{
    settings::Digest digest = 0;
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    std::vector<rpc::Link> links;
    links.reserve(entries.size());
    for (Address& entry : entries)
        links.emplace_back(executor, std::move(entry));
    for (;;) {
        for (const rpc::Link& link : links)
            spawn(executor, "announce", announceTo(link, announcement, digest, listener));
        Message message = co_await mailbox.receive();
        if (const auto* report = std::get_if<Report>(&message))
            digest = report->digest_;
        announcement.leaving_ = announcement.leaving_ || std::holds_alternative<Leave>(message);
        announcement.sequence_ = announcement.sequence_.next();
    }
}

asio::awaitable<void> Announcer::tick(Mailbox<Message> mailbox)
{
    bool open = true;
    while (open) {
        co_await sleepFor(announceInterval);
        Message due = Due {};
        open = co_await mailbox.post(std::move(due));
    }
}

} // namespace persimmondoor::membership
