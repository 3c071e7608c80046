/// The messages that the leader decides on.
///
/// \code
/// Decision decision = decide(std::move(state), CatalogChanged { catalog }, now);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Catalog.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/Exchange.h"
#include "persimmondoor/workflow/Staging.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace persimmondoor::workflow {

/// A client's call.
struct CallArrived {
    CallToken token_;
    ClientCall call_;
    /// Time of day, in milliseconds since 1970 UTC.
    int64_t wallMs_ { 0 };
    bool operator==(const CallArrived&) const = default;
};
struct ReportArrived {
    AgentReport report_;
    bool operator==(const ReportArrived&) const = default;
};
struct CatalogChanged {
    Catalog catalog_;
    bool operator==(const CatalogChanged&) const = default;
};
struct EvacuationsChanged {
    std::set<std::string> domains_;
    bool operator==(const EvacuationsChanged&) const = default;
};
struct BatchDurable {
    Batch batch_;
    /// When the write was sent; this process was the leader at that time.
    Instant writeSentAt_;
    bool operator==(const BatchDurable&) const = default;
};
/// The store rejected a write or did not answer it.
struct StoreFailed {
    auto operator<=>(const StoreFailed&) const = default;
};
/// The store rejects the rows of the job, which were sent alone, and would reject them again. Nothing was written.
struct RowsRejected {
    JobId job_;
    auto operator<=>(const RowsRejected&) const = default;
};
/// Time has passed; sent periodically.
struct Tick {
    /// Time of day, in milliseconds since 1970 UTC.
    int64_t wallMs_ { 0 };
    auto operator<=>(const Tick&) const = default;
};

using LeaderMessage = std::variant<CallArrived, ReportArrived, CatalogChanged, EvacuationsChanged, BatchDurable, StoreFailed, RowsRejected, Tick>;

} // namespace persimmondoor::workflow
