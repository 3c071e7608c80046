#include "Remote.h"

#include "Codec.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/settings/PushTree.h"
#include "persimmondoor/settings/SettingsActor.h"

namespace persimmondoor::settings {

namespace asio = boost::asio;

static constexpr Duration fetchTimeout = std::chrono::seconds(2);

static std::vector<Address> decodeAddresses(capnp::List<capnp::Text>::Reader wire)
{
    std::vector<Address> addresses;
    for (auto item : wire) {
        auto address = Address::parse({ item.cStr(), item.size() });
        if (address.ok())
            addresses.push_back(*std::move(address));
        else
            logWarning("settings.bad_address", { { "error", std::string(address.status().message()) } });
    }
    return addresses;
}

namespace {

    class SettingsServer final : public wire::Settings::Server {
    public:
        SettingsServer(asio::any_io_executor executor, SettingsActor settings)
            : executor_(std::move(executor))
            , settings_(std::move(settings))
        {
        }

        kj::Promise<void> fetchSince(FetchSinceContext context) override { return rpc::promiseOf(executor_, answerSince(settings_, context)); }

        kj::Promise<void> fetchNewer(FetchNewerContext context) override { return rpc::promiseOf(executor_, answerNewer(settings_, context)); }

        kj::Promise<void> push(PushContext context) override
        {
            auto subtrees = decode(context.getParams().getSubtrees());
            if (!subtrees.ok()) {
                logWarning("settings.bad_push", { { "error", std::string(subtrees.status().message()) } });
                return kj::READY_NOW;
            }
            std::vector<Address> receivers = decodeAddresses(context.getParams().getPassOnTo());
            if (!receivers.empty())
                spawn(executor_, "settings forward", pushSubtrees(std::move(receivers), *subtrees));
            settings_.apply(*std::move(subtrees));
            return kj::READY_NOW;
        }

    private:
        static asio::awaitable<void> answerSince(SettingsActor settings, FetchSinceContext context)
        {
            Snapshot snapshot = co_await settings.snapshot();
            auto changed = snapshot.tree_.changedSince(context.getParams().getDigest());
            auto results = context.getResults();
            results.setRemembered(changed.has_value());
            if (changed)
                encode(*changed, results.initSubtrees(static_cast<unsigned>(changed->size())));
        }

        static asio::awaitable<void> answerNewer(SettingsActor settings, FetchNewerContext context)
        {
            Snapshot snapshot = co_await settings.snapshot();
            std::vector<Subtree> newer = snapshot.tree_.newerThan(decode(context.getParams().getKnown()));
            auto results = context.getResults();
            results.setIsKnown(snapshot.isKnown_);
            encode(newer, results.initSubtrees(static_cast<unsigned>(newer.size())));
        }

        asio::any_io_executor executor_;
        SettingsActor settings_;
    };

} // namespace

void offerSettings(rpc::Interfaces& interfaces, const asio::any_io_executor& executor, SettingsActor settings)
{
    interfaces.add("settings", kj::heap<SettingsServer>(executor, std::move(settings)));
}

using Fetched = absl::StatusOr<std::vector<Subtree>>;

// Fetches the changes since `digest`. Returns NotFound if the peer does not remember it.
static asio::awaitable<Fetched> fetchSince(wire::Settings::Client peer, Digest digest)
{
    auto request = peer.fetchSinceRequest();
    request.setDigest(digest);
    auto answer = co_await rpc::call(
        request.send(),
        [](auto& response) -> Fetched {
            if (!response.getRemembered())
                return absl::NotFoundError("the peer does not remember the digest");
            return decode(response.getSubtrees());
        },
        fetchTimeout);
    co_return answer.ok() ? *std::move(answer) : Fetched(answer.status());
}

static asio::awaitable<Fetched> fetchByRevisions(wire::Settings::Client peer, Tree tree)
{
    auto request = peer.fetchNewerRequest();
    auto known = request.initKnown(static_cast<unsigned>(tree.subtrees().size()));
    unsigned index = 0;
    for (const auto& [name, subtree] : tree.subtrees()) {
        known[index].setName(name.value());
        known[index++].setRevision(subtree.revision_.value());
    }
    auto answer = co_await rpc::call(
        request.send(),
        [](auto& response) -> Fetched {
            if (!response.getIsKnown())
                return absl::FailedPreconditionError("the peer has not read the settings yet");
            return decode(response.getSubtrees());
        },
        fetchTimeout);
    co_return answer.ok() ? *std::move(answer) : Fetched(answer.status());
}

asio::awaitable<absl::StatusOr<std::vector<Subtree>>> fetchNewer(rpc::Link link, Tree tree)
{
    auto found = co_await link.find("settings");
    if (!found.ok())
        co_return found.status();
    auto peer = found->castAs<wire::Settings>();
    if (tree.digest() != 0) {
        Fetched changed = co_await fetchSince(peer, tree.digest());
        if (changed.ok() || changed.status().code() != absl::StatusCode::kNotFound)
            co_return changed;
    }
    co_return co_await fetchByRevisions(peer, std::move(tree));
}

asio::awaitable<absl::StatusOr<bool>> push(rpc::Link link, std::vector<Subtree> subtrees, std::vector<Address> passOnTo)
{
    auto found = co_await link.find("settings");
    if (!found.ok())
        co_return found.status();
    auto request = found->castAs<wire::Settings>().pushRequest();
    encode(subtrees, request.initSubtrees(static_cast<unsigned>(subtrees.size())));
    auto addresses = request.initPassOnTo(static_cast<unsigned>(passOnTo.size()));
    for (unsigned index = 0; index < addresses.size(); ++index)
        addresses.set(index, passOnTo[index].text());
    co_return co_await rpc::call(
        request.send(), [](auto&) { return true; }, fetchTimeout);
}

} // namespace persimmondoor::settings
