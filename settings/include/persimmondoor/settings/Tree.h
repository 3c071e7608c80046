/// The settings tree of one process. The revision of a subtree never decreases, whatever the order and the source of the
/// messages. Decisions only.
///
/// \code
/// TreeDecision decision = decide(Tree(), SubtreesReceived { { subtree } });
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

/// The name of a team, or `operatorsSubtree`.
using SubtreeName = TeamName;
/// Identifies one change, so that a repetition of it is idempotent.
using WriteId = Name<struct WriteTag>;
using OperatorName = Name<struct OperatorTag>;

/// The subtree that holds the operators and the branches that each may change.
inline constexpr std::string_view operatorsSubtree = "operators";
/// Number of past changes that a tree remembers, to send only the difference to a peer that names an earlier digest.
inline constexpr size_t rememberedChanges = 256;

/// One accepted revision of a subtree.
struct Subtree {
    SubtreeName name_;
    Revision revision_;
    /// Its contents, in JSON.
    std::string text_;
    WriteId writeId_;
    OperatorName operator_;
    /// Wall-clock time of the entry that accepted the revision. For display only; nothing is ordered by it.
    int64_t acceptedMilliseconds_ { 0 };
    auto operator<=>(const Subtree&) const = default;
};

/// Hash of the names and revisions of all subtrees of a tree.
using Digest = uint64_t;

/// Subtrees were received from the store, from a peer or from a change accepted by this process.
struct SubtreesReceived {
    std::vector<Subtree> subtrees_;
    auto operator<=>(const SubtreesReceived&) const = default;
};

/// This revision is in force in this process from now on.
struct InForce {
    Subtree subtree_;
    auto operator<=>(const InForce&) const = default;
};

class Tree {
public:
    const std::map<SubtreeName, Subtree>& subtrees() const { return subtrees_; }
    /// \return the revision of `name`, 0 if the tree has none.
    Revision revisionOf(const SubtreeName& name) const;
    /// FNV-1a hash over names and revisions; 0 for an empty tree.
    Digest digest() const { return digest_; }
    /// \return the subtrees that changed after the tree had `digest`, or nothing if the tree does not remember that
    /// digest.
    std::optional<std::vector<Subtree>> changedSince(Digest digest) const;
    /// \return the subtrees that are newer in this tree than in `known`.
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

/// Applies the subtrees that are newer than those of the tree.
TreeDecision decide(Tree state, const SubtreesReceived& message);

} // namespace persimmondoor::settings
