#include "persimmondoor/settings/Tree.h"

#include <algorithm>
#include <set>

namespace persimmondoor::settings {

// FNV-1a, 64 bits (Fowler, Noll, Vo).
static constexpr uint64_t fnvOffset = 14695981039346656037ULL;
static constexpr uint64_t fnvPrime = 1099511628211ULL;

static uint64_t mix(uint64_t hash, unsigned char byte)
{
    return (hash ^ byte) * fnvPrime;
}

static Digest digestOf(const std::map<SubtreeName, Subtree>& subtrees)
{
    uint64_t hash = subtrees.empty() ? 0 : fnvOffset;
    for (const auto& [name, subtree] : subtrees) {
        for (char character : name.value())
            hash = mix(hash, static_cast<unsigned char>(character));
        hash = mix(hash, 0);
        for (int shift = 0; shift < 64; shift += 8)
            hash = mix(hash, static_cast<unsigned char>(subtree.revision_.value() >> shift));
    }
    return hash;
}

Revision Tree::revisionOf(const SubtreeName& name) const
{
    auto found = subtrees_.find(name);
    return found == subtrees_.end() ? Revision() : found->second.revision_;
}

std::optional<std::vector<Subtree>> Tree::changedSince(Digest digest) const
{
    if (digest == digest_)
        return std::vector<Subtree>();
    auto first = std::find_if(changes_.begin(), changes_.end(), [&](const Change& change) { return change.before_ == digest; });
    if (first == changes_.end())
        return std::nullopt;
    std::set<SubtreeName> names;
    for (auto change = first; change != changes_.end(); ++change)
        names.insert(change->name_);
    std::vector<Subtree> changed;
    changed.reserve(names.size());
    for (const SubtreeName& name : names)
        changed.push_back(subtrees_.at(name));
    return changed;
}

std::vector<Subtree> Tree::newerThan(const std::map<SubtreeName, Revision>& known) const
{
    std::vector<Subtree> newer;
    for (const auto& [name, subtree] : subtrees_) {
        auto found = known.find(name);
        if (found == known.end() || found->second < subtree.revision_)
            newer.push_back(subtree);
    }
    return newer;
}

struct TreeRules {
    static void apply(TreeDecision& decision, const Subtree& subtree)
    {
        Tree& tree = decision.state_;
        if (subtree.revision_ <= tree.revisionOf(subtree.name_))
            return;
        tree.changes_.push_back({ tree.digest_, subtree.name_ });
        if (tree.changes_.size() > rememberedChanges)
            tree.changes_.pop_front();
        tree.subtrees_.insert_or_assign(subtree.name_, subtree);
        tree.digest_ = digestOf(tree.subtrees_);
        decision.actions_.push_back({ subtree });
    }
};

TreeDecision decide(Tree state, const SubtreesReceived& message)
{
    TreeDecision decision { std::move(state), {} };
    for (const Subtree& subtree : message.subtrees_)
        TreeRules::apply(decision, subtree);
    return decision;
}

} // namespace persimmondoor::settings
