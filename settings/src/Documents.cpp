#include "Documents.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::settings {

namespace json = boost::json;

static constexpr int64_t milliPerCore = 1'000;
static constexpr int64_t bytesPerGigabyte = 1'000'000'000;

static std::string lineOf(const json::object& document)
{
    return json::serialize(document) + "\n";
}

static json::object headOf(const Subtree& subtree)
{
    json::object head;
    head["subtree"] = subtree.name_.value();
    head["revision"] = subtree.revision_.value();
    head["operator"] = subtree.operator_.value();
    head["accepted_ms"] = subtree.acceptedMilliseconds_;
    head["write_id"] = subtree.writeId_.value();
    return head;
}

static std::string textOf(Digest digest)
{
    return absl::StrFormat("%016x", digest);
}

std::string subtreeDocument(const Subtree& subtree)
{
    json::object document = headOf(subtree);
    boost::system::error_code error;
    document["settings"] = json::parse(subtree.text_, error);
    return lineOf(document);
}

static json::array headsOf(const Tree& tree)
{
    json::array heads;
    for (const auto& [name, subtree] : tree.subtrees())
        heads.push_back(headOf(subtree));
    return heads;
}

std::string subtreesDocument(const Snapshot& snapshot)
{
    json::object document;
    document["known"] = snapshot.isKnown_;
    document["digest"] = textOf(snapshot.tree_.digest());
    document["subtrees"] = headsOf(snapshot.tree_);
    return lineOf(document);
}

std::string acceptedDocument(const WriteAccepted& accepted)
{
    json::object document = headOf(accepted.subtree_);
    document["dry_run"] = accepted.dryRun_;
    return lineOf(document);
}

std::string historyDocument(const std::vector<Subtree>& revisions)
{
    json::array list;
    for (const Subtree& subtree : revisions)
        list.push_back(headOf(subtree));
    json::object document;
    document["revisions"] = std::move(list);
    return lineOf(document);
}

std::string differencesDocument(const std::vector<Difference>& differences)
{
    json::array list;
    for (const Difference& difference : differences) {
        json::object item;
        item["path"] = difference.path_;
        item["before"] = difference.before_;
        item["after"] = difference.after_;
        list.push_back(std::move(item));
    }
    json::object document;
    document["changes"] = std::move(list);
    return lineOf(document);
}

static json::object processDocument(const std::string& process, std::string_view role, Digest digest, Digest current)
{
    json::object item;
    item["process"] = process;
    item["role"] = role;
    item["state"] = digest == current ? "current" : "behind";
    item["digest"] = textOf(digest);
    return item;
}

std::string statusDocument(const ProcessName& self, const Snapshot& snapshot)
{
    Digest current = snapshot.tree_.digest();
    json::array processes;
    processes.push_back(processDocument(self.value(), "entry", current, current));
    size_t behind = 0;
    for (const auto& [name, state] : snapshot.processes_) {
        processes.push_back(processDocument(name.value(), "agent", state.digest_, current));
        behind += state.digest_ == current ? 0 : 1;
    }
    json::object document;
    document["known"] = snapshot.isKnown_;
    document["digest"] = textOf(current);
    document["current"] = processes.size() - behind;
    document["behind"] = behind;
    document["subtrees"] = headsOf(snapshot.tree_);
    document["processes"] = std::move(processes);
    return lineOf(document);
}

// Calls `visit` with each team whose settings can be parsed, and their revision.
template <typename Visit>
static void forEachTeam(const Tree& tree, Visit visit)
{
    for (const auto& [name, subtree] : tree.subtrees()) {
        if (name.value() == operatorsSubtree)
            continue;
        auto team = parseTeam(name, subtree.text_);
        if (team.ok())
            visit(*team, subtree.revision_);
    }
}

std::string teamsDocument(const Tree& tree)
{
    json::array list;
    forEachTeam(tree, [&](const TeamSettings& team, Revision revision) {
        auto paying = std::count_if(team.services_.begin(), team.services_.end(), [](const ServiceSettings& service) { return service.tier_ == Tier::Paying; });
        json::object item;
        item["team"] = team.team_.value();
        item["revision"] = revision.value();
        item["services"] = team.services_.size();
        item["paying_services"] = paying;
        item["trial_services"] = team.services_.size() - static_cast<size_t>(paying);
        list.push_back(std::move(item));
    });
    json::object document;
    document["teams"] = std::move(list);
    return lineOf(document);
}

std::string quotasDocument(const Tree& tree)
{
    json::array list;
    forEachTeam(tree, [&](const TeamSettings& team, Revision revision) {
        json::object item;
        item["team"] = team.team_.value();
        item["revision"] = revision.value();
        item["cores"] = team.quota_.milliCores() / milliPerCore;
        item["memory_gb"] = team.quota_.memoryBytes() / bytesPerGigabyte;
        item["accelerators"] = team.quota_.accelerators();
        list.push_back(std::move(item));
    });
    json::object document;
    document["quotas"] = std::move(list);
    return lineOf(document);
}

} // namespace persimmondoor::settings
