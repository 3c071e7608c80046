#include "persimmondoor/settings/Write.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::settings {

static bool mayChange(const Operator& editor, const SubtreeName& name)
{
    return std::any_of(editor.branches_.begin(), editor.branches_.end(), [&](const std::string& branch) { return branch == "*" || branch == name.value(); });
}

WriteCheck checkWrite(const WriteRequest& request, const Subtree& head, const std::optional<std::vector<Operator>>& operators)
{
    OperatorName operatorName = OperatorName::of("anyone");
    if (operators) {
        if (request.tokenDigest_.empty())
            return WriteRefused { WriteRefusal::NoToken, "the request has no operator's token, which a change needs" };
        auto found = std::find_if(operators->begin(), operators->end(), [&](const Operator& item) { return item.tokenDigest_ == request.tokenDigest_; });
        if (found == operators->end())
            return WriteRefused { WriteRefusal::NoToken, "the token does not match any operator" };
        if (!mayChange(*found, request.name_))
            return WriteRefused { WriteRefusal::Forbidden, concat("operator ", found->name_.value(), " may not change subtree ", request.name_.value()) };
        operatorName = found->name_;
    }
    if (head.revision_ > Revision() && head.writeId_ == request.writeId_)
        return WriteRepeated {};
    if (head.revision_ != request.expected_) {
        return WriteRefused { WriteRefusal::Conflict,
            concat(request.name_.value(), " is at revision ", head.revision_.value(), ", but the change expects revision ", request.expected_.value()) };
    }
    return WriteReady { { request.name_, head.revision_.next(), request.text_, request.writeId_, operatorName, 0 } };
}

} // namespace persimmondoor::settings
