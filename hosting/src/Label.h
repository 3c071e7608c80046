// The label that the worker stores with a task. A restarted agent reads the task's partition from it.
#pragma once

#include "persimmondoor/core/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmondoor::hosting {

std::string encodeLabel(PartitionNumber);
// Returns nothing for a label that `encodeLabel` did not write.
std::optional<PartitionNumber> decodeLabel(std::string_view);

} // namespace persimmondoor::hosting
