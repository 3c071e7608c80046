/// The settings tree as one process knows it: decisions only. A subtree's revision only rises, whatever order
/// messages come in and wherever they come from.
///
/// \code
/// TreeDecision decision = decide(Tree(), Learned { { subtree } });
/// // decision.actions_ holds InForce for each subtree that became newer
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmondoor::settings {

/// A team's branch, or `operatorsSubtree`.
using SubtreeName = TeamName;
/// Names one change, so that its repetition is known.
using WriteId = Name<struct WriteTag>;
using OperatorName = Name<struct OperatorTag>;

/// The subtree that holds who may change what.
inline constexpr std::string_view operatorsSubtree = "operators";
/// Changes that a process can give to a peer that names an earlier digest.
inline constexpr size_t rememberedChanges = 256;

/// One accepted revision of a subtree.
struct Subtree {
    SubtreeName name_;
    Revision revision_;
    /// Its contents, in JSON.
    std::string text_;
    WriteId writeId_;
    OperatorName operator_;
    /// Wall-clock time of the entry that accepted it, for people only: nothing is ordered by it.
    int64_t acceptedMilliseconds_ { 0 };
    auto operator<=>(const Subtree&) const = default;
};

/// Names a set of revisions.
using Digest = uint64_t;

/// Subtrees came from the store, a peer or a change made here.
struct Learned {
    std::vector<Subtree> subtrees_;
    auto operator<=>(const Learned&) const = default;
};

/// The process works by this revision from now on.
struct InForce {
    Subtree subtree_;
    auto operator<=>(const InForce&) const = default;
};

class Tree {
public:
    const std::map<SubtreeName, Subtree>& subtrees() const { return subtrees_; }
    /// The revision of `name`, 0 if there is none.
    Revision revisionOf(const SubtreeName& name) const;
    /// FNV-1a over names and revisions; 0 for an empty tree.
    Digest digest() const { return digest_; }
    /// The subtrees that changed after the tree had `digest`.
    /// \return nothing if the tree does not remember that digest.
    std::optional<std::vector<Subtree>> changedSince(Digest digest) const;
    /// The subtrees that are newer here than in `known`.
    std::vector<Subtree> newerThan(const std::map<SubtreeName, Revision>& known) const;
    bool operator==(const Tree&) const = default;

private:
    friend struct TreeRules;
    struct Change {
        Digest before_ { 0 };
        SubtreeName name_;
        bool operator==(const Change&) const = default;
    };

    std::map<SubtreeName, Subtree> subtrees_;
    std::deque<Change> changes_;
    Digest digest_ { 0 };
};

struct TreeDecision {
    Tree state_;
    std::vector<InForce> actions_;
    bool operator==(const TreeDecision&) const = default;
};

/// Takes in what is newer than what the tree has.
TreeDecision decide(Tree state, const Learned& message);

} // namespace persimmondoor::settings
