#include "Codec.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/settings/Subtrees.h"

namespace persimmondoor::settings {

// Maximum number of items of a list in a message. Empty items take no space in a Cap'n Proto message, so the limit on
// the size of a message does not bound their number.
static constexpr unsigned maximumItems = 1'000;

void encode(const Subtree& subtree, wire::Subtree::Builder wire)
{
    wire.setName(subtree.name_.value());
    wire.setRevision(subtree.revision_.value());
    wire.setText(subtree.text_);
    wire.setWriteId(subtree.writeId_.value());
    wire.setOperator(subtree.operator_.value());
    wire.setAcceptedMilliseconds(subtree.acceptedMilliseconds_);
}

absl::StatusOr<Subtree> decode(wire::Subtree::Reader wire)
{
    auto name = SubtreeName::create(wire.getName().cStr());
    auto writeId = WriteId::create(wire.getWriteId().cStr());
    auto operatorName = OperatorName::create(wire.getOperator().cStr());
    for (const absl::Status& status : { name.status(), writeId.status(), operatorName.status() }) {
        if (!status.ok())
            return status;
    }
    if (wire.getRevision() == 0)
        return absl::InvalidArgumentError("the revision of the subtree is 0; expected 1 or more");
    std::string text(wire.getText().cStr(), wire.getText().size());
    if (absl::Status status = checkSubtree(*name, text); !status.ok())
        return status;
    return Subtree { *name, Revision(wire.getRevision()), std::move(text), *writeId, *operatorName, wire.getAcceptedMilliseconds() };
}

void encode(const std::vector<Subtree>& subtrees, capnp::List<wire::Subtree>::Builder wire)
{
    for (unsigned index = 0; index < wire.size(); ++index)
        encode(subtrees[index], wire[index]);
}

absl::StatusOr<std::vector<Subtree>> decode(capnp::List<wire::Subtree>::Reader wire)
{
    if (wire.size() > maximumItems)
        return absl::InvalidArgumentError(concat("the message holds ", wire.size(), " subtrees; expected at most ", maximumItems));
    std::vector<Subtree> subtrees;
    for (auto item : wire) {
        auto subtree = decode(item);
        if (!subtree.ok())
            return subtree.status();
        subtrees.push_back(*std::move(subtree));
    }
    return subtrees;
}

std::map<SubtreeName, Revision> decode(capnp::List<wire::KnownRevision>::Reader wire)
{
    std::map<SubtreeName, Revision> known;
    if (wire.size() > maximumItems)
        return known;
    for (auto item : wire) {
        auto name = SubtreeName::create(item.getName().cStr());
        if (name.ok())
            known.insert_or_assign(*name, Revision(item.getRevision()));
    }
    return known;
}

} // namespace persimmondoor::settings
