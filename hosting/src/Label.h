// What the agent lets the worker keep of a task, to find it after a restart.
#pragma once

#include "persimmondoor/core/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmondoor::hosting {

std::string encodeLabel(PartitionNumber);
// Returns nothing for a label that this system did not write.
std::optional<PartitionNumber> decodeLabel(std::string_view);

} // namespace persimmondoor::hosting
