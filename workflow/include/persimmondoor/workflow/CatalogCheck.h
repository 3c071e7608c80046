/// Checks a configuration before operators send it, and compares it with the one in force. Decisions only.
///
/// \code
/// for (const CatalogFinding& finding : checkCatalog(proposed))
///     print(finding.place_, finding.text_);
/// std::vector<CatalogDifference> differences = compareCatalogs(inForce, proposed);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Catalog.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::workflow {

enum class FindingSeverity : uint8_t {
    /// Requests would fail, or the configuration would be ignored.
    Error,
    /// An entry without effect, or a limit that serves no job well.
    Warning,
};

std::string_view describe(FindingSeverity);

/// One fault of a configuration.
struct CatalogFinding {
    FindingSeverity severity_ { FindingSeverity::Error };
    /// The entry at fault, such as "routes[2]" or "services[0]".
    std::string place_;
    std::string text_;
    auto operator<=>(const CatalogFinding&) const = default;
};

/// Checks that each queue can be matched and its jobs can run, and that its limits can be met.
/// \return the findings, errors first, each in the order of the entries.
std::vector<CatalogFinding> checkCatalog(const Catalog&);

/// Checks that `proposed` would replace `inForce`: a version that is not higher is ignored.
/// \return the finding, or none.
std::vector<CatalogFinding> checkVersion(const Catalog& inForce, const Catalog& proposed);

/// One field that differs; an entry that is added or removed is one difference.
struct CatalogDifference {
    /// The entry and its field, such as "route host.example/path/ targetLatency".
    std::string place_;
    /// Empty if the entry is added.
    std::string before_;
    /// Empty if the entry is removed.
    std::string after_;
    auto operator<=>(const CatalogDifference&) const = default;
};

/// What changes for queues and services if `proposed` takes effect. Queues are matched by host and prefix, services by name.
/// \return the differences: the version, then queues, then services.
std::vector<CatalogDifference> compareCatalogs(const Catalog& inForce, const Catalog& proposed);

} // namespace persimmondoor::workflow
