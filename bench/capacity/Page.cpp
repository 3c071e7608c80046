#include "Page.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::capacity {

absl::StatusOr<std::string> renderPage(const Slopes& slopes)
{
    if (slopes.empty())
        return absl::NotFoundError("no slopes");
    return concat("# Capacity\n");
}

} // namespace persimmondoor::capacity
