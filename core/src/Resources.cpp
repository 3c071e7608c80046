#include "persimmondoor/core/Resources.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor {

absl::StatusOr<Resources> Resources::create(int64_t milliCores, int64_t memoryBytes, int64_t accelerators)
{
    if (milliCores < 0 || memoryBytes < 0 || accelerators < 0)
        return absl::InvalidArgumentError(concat("a resource amount is negative: ", milliCores, " milli-cores, ", memoryBytes, " bytes of memory, ", accelerators, " accelerators"));
    return Resources(milliCores, memoryBytes, accelerators);
}

Resources Resources::operator-(const Resources& other) const
{
    auto difference = [](int64_t left, int64_t right) { return std::max<int64_t>(0, left - right); };
    return { difference(milliCores_, other.milliCores_), difference(memoryBytes_, other.memoryBytes_),
        difference(accelerators_, other.accelerators_) };
}

} // namespace persimmondoor
