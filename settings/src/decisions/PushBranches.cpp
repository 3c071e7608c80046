#include "persimmondoor/settings/PushBranches.h"

#include <algorithm>

namespace persimmondoor::settings {

std::vector<PushBranch> branchesOf(const std::vector<Address>& receivers)
{
    std::vector<PushBranch> branches(std::min(receivers.size(), pushesPerProcess));
    for (size_t index = 0; index < receivers.size(); ++index)
        branches[index % branches.size()].push_back(receivers[index]);
    return branches;
}

} // namespace persimmondoor::settings
