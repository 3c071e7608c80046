#include "persimmondoor/core/Outcome.h"

namespace persimmondoor {

std::string_view describe(NotRunReason reason)
{
    switch (reason) {
    case NotRunReason::NoEndpoint:
        return "no-endpoint";
    case NotRunReason::Deadline:
        return "deadline";
    case NotRunReason::QueueFull:
        return "queue-full";
    case NotRunReason::Draining:
        return "draining";
    case NotRunReason::Unreachable:
        return "unreachable";
    case NotRunReason::StoreUnavailable:
        return "store-unavailable";
    case NotRunReason::DuplicateRequest:
        return "duplicate-request";
    case NotRunReason::BadRequest:
        return "bad-request";
    case NotRunReason::Unspecified:
        return "unspecified";
    }
    return "unspecified";
}

} // namespace persimmondoor
