#include "persimmondoor/settings/OperatorsAPI.h"

#include "Documents.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/settings/PushTree.h"
#include "persimmondoor/settings/Store.h"
#include "persimmondoor/settings/Subtrees.h"

#include <absl/strings/numbers.h>
#include <boost/asio/this_coro.hpp>

namespace persimmondoor::settings {

namespace asio = boost::asio;

// Maximum number of revisions in an answer of /v1/settings-history.
static constexpr size_t shownRevisions = 100;

static http::Response failed(const absl::Status& status)
{
    std::string detail(status.message());
    if (status.code() == absl::StatusCode::kNotFound)
        return http::errorResponse(404, "not-found", detail);
    if (status.code() == absl::StatusCode::kInvalidArgument)
        return http::errorResponse(400, "invalid", detail);
    return http::errorResponse(503, "store-unavailable", detail);
}

static http::Response refused(const WriteRefused& refusal)
{
    switch (refusal.reason_) {
    case WriteRefusal::Invalid:
        return http::errorResponse(400, "invalid", refusal.detail_);
    case WriteRefusal::NoToken:
        return http::errorResponse(401, "no-token", refusal.detail_);
    case WriteRefusal::Forbidden:
        return http::errorResponse(403, "forbidden", refusal.detail_);
    case WriteRefusal::Conflict:
        return http::errorResponse(409, "conflict", refusal.detail_);
    case WriteRefusal::StoreUnavailable:
        return http::errorResponse(503, "store-unavailable", refusal.detail_);
    }
    return http::errorResponse(500, "unexpected", refusal.detail_);
}

static absl::StatusOr<SubtreeName> nameBelow(const http::Request& request, std::string_view prefix)
{
    return SubtreeName::create(http::pathBelow(request, prefix));
}

static absl::StatusOr<Revision> revisionOf(const http::Request& request, std::string_view parameter)
{
    std::optional<std::string> text = http::queryParameter(request, parameter);
    uint64_t number = 0;
    if (!text || !absl::SimpleAtoi(*text, &number))
        return absl::InvalidArgumentError(concat("the query parameter ", parameter, " must be a revision, a whole number"));
    return Revision(number);
}

static std::string tokenDigestOf(const http::Request& request)
{
    static constexpr std::string_view scheme = "Bearer ";
    std::string header = http::findHeader(request.headers_, "Authorization").value_or("");
    return header.starts_with(scheme) ? digestOfToken(std::string_view(header).substr(scheme.size())) : "";
}

static absl::StatusOr<WriteRequest> readWrite(const http::Request& request)
{
    auto name = nameBelow(request, "/v1/settings");
    auto expected = revisionOf(request, "expect");
    auto writeId = WriteId::create(http::queryParameter(request, "write-id").value_or(""));
    for (const absl::Status& status : { name.status(), expected.status(), writeId.status() }) {
        if (!status.ok())
            return status;
    }
    bool dryRun = http::queryParameter(request, "dry-run").value_or("false") == "true";
    return WriteRequest { *name, request.body_, *expected, *writeId, tokenDigestOf(request), dryRun };
}

// Applies an accepted change to this process and pushes it to the other entries and the agents.
static asio::awaitable<void> pushAccepted(OperatorsAPI api, const Subtree& accepted)
{
    std::vector<Subtree> subtrees(1, accepted);
    std::vector<Subtree> copy = subtrees;
    api.settings_.apply(std::move(copy));
    std::vector<Address> receivers = api.peers_;
    if (api.agents_) {
        for (Address& agent : co_await api.agents_())
            receivers.push_back(std::move(agent));
    }
    co_await pushSubtrees(std::move(receivers), std::move(subtrees));
}

static asio::awaitable<http::Response> put(OperatorsAPI api, http::Request request)
{
    auto write = readWrite(request);
    if (!write.ok())
        co_return failed(write.status());
    WriteOutcome outcome = co_await writeSubtree(api.table_, *std::move(write));
    if (const auto* refusal = std::get_if<WriteRefused>(&outcome))
        co_return refused(*refusal);
    if (const auto* unknown = std::get_if<WriteUnknown>(&outcome))
        co_return http::errorResponse(504, "unknown", unknown->detail_);
    const auto& accepted = std::get<WriteAccepted>(outcome);
    if (!accepted.dryRun_) {
        logInfo("settings.accepted",
            { { "subtree", accepted.subtree_.name_.value() }, { "revision", std::to_string(accepted.subtree_.revision_.value()) },
                { "operator", accepted.subtree_.operator_.value() } });
        co_await pushAccepted(api, accepted.subtree_);
    }
    co_return http::jsonResponse(200, acceptedDocument(accepted));
}

static asio::awaitable<http::Response> get(OperatorsAPI api, http::Request request)
{
    Snapshot snapshot = co_await api.settings_.snapshot();
    if (http::pathBelow(request, "/v1/settings").empty())
        co_return http::jsonResponse(200, subtreesDocument(snapshot));
    auto name = nameBelow(request, "/v1/settings");
    if (!name.ok())
        co_return failed(name.status());
    if (http::queryParameter(request, "revision")) {
        auto revision = revisionOf(request, "revision");
        if (!revision.ok())
            co_return failed(revision.status());
        auto stored = co_await loadRevision(api.table_, *name, *revision);
        co_return stored.ok() ? http::jsonResponse(200, subtreeDocument(*stored)) : failed(stored.status());
    }
    auto found = snapshot.tree_.subtrees().find(*name);
    if (found != snapshot.tree_.subtrees().end())
        co_return http::jsonResponse(200, subtreeDocument(found->second));
    if (!snapshot.isKnown_)
        co_return http::errorResponse(503, "unknown-settings", "this entry has not yet read the settings from the store or another entry");
    co_return http::errorResponse(404, "not-found", concat("the settings have no subtree ", name->value()));
}

static asio::awaitable<http::Response> validate(OperatorsAPI, http::Request request)
{
    auto name = nameBelow(request, "/v1/settings-validate");
    if (!name.ok())
        co_return failed(name.status());
    absl::Status status = checkSubtree(*name, request.body_);
    co_return status.ok() ? http::jsonResponse(200, "{\"valid\":true}\n") : failed(status);
}

static asio::awaitable<http::Response> history(OperatorsAPI api, http::Request request)
{
    auto name = nameBelow(request, "/v1/settings-history");
    if (!name.ok())
        co_return failed(name.status());
    Snapshot snapshot = co_await api.settings_.snapshot();
    auto revisions = co_await loadHistory(api.table_, *name, snapshot.tree_.revisionOf(*name), shownRevisions);
    co_return revisions.ok() ? http::jsonResponse(200, historyDocument(*revisions)) : failed(revisions.status());
}

static asio::awaitable<http::Response> diff(OperatorsAPI api, http::Request request)
{
    auto name = nameBelow(request, "/v1/settings-diff");
    auto from = revisionOf(request, "from");
    if (!name.ok() || !from.ok())
        co_return failed(name.ok() ? from.status() : name.status());
    Snapshot snapshot = co_await api.settings_.snapshot();
    absl::StatusOr<Revision> to = snapshot.tree_.revisionOf(*name);
    if (http::queryParameter(request, "to"))
        to = revisionOf(request, "to");
    if (!to.ok())
        co_return failed(to.status());
    auto before = co_await loadRevision(api.table_, *name, *from);
    auto after = co_await loadRevision(api.table_, *name, *to);
    if (!before.ok() || !after.ok())
        co_return failed(before.ok() ? after.status() : before.status());
    auto differences = compareSubtrees(before->text_, after->text_);
    co_return differences.ok() ? http::jsonResponse(200, differencesDocument(*differences)) : failed(differences.status());
}

static asio::awaitable<http::Response> status(OperatorsAPI api, http::Request)
{
    Snapshot snapshot = co_await api.settings_.snapshot();
    co_return http::jsonResponse(200, statusDocument(api.process_, snapshot));
}

static asio::awaitable<http::Response> teams(OperatorsAPI api, http::Request)
{
    Snapshot snapshot = co_await api.settings_.snapshot();
    co_return http::jsonResponse(200, teamsDocument(snapshot.tree_));
}

static asio::awaitable<http::Response> quotas(OperatorsAPI api, http::Request)
{
    Snapshot snapshot = co_await api.settings_.snapshot();
    co_return http::jsonResponse(200, quotasDocument(snapshot.tree_));
}

using Serve = asio::awaitable<http::Response> (*)(OperatorsAPI, http::Request);

static http::Handler handlerOf(const OperatorsAPI& api, Serve serve)
{
    return [api, serve](http::Request request) { return serve(api, std::move(request)); };
}

void offerSettingsAPI(http::Routes& routes, const OperatorsAPI& api)
{
    routes.add("GET", "/v1/settings", handlerOf(api, get));
    routes.add("PUT", "/v1/settings", handlerOf(api, put));
    routes.add("POST", "/v1/settings-validate", handlerOf(api, validate));
    routes.add("GET", "/v1/settings-history", handlerOf(api, history));
    routes.add("GET", "/v1/settings-diff", handlerOf(api, diff));
    routes.add("GET", "/v1/settings-status", handlerOf(api, status));
    routes.add("GET", "/v1/teams", handlerOf(api, teams));
    routes.add("GET", "/v1/quota", handlerOf(api, quotas));
}

} // namespace persimmondoor::settings
