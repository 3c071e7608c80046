/// Identifiers and counters as distinct types, so that a worker's name cannot be passed for a team's.
///
/// \code
/// absl::StatusOr<TeamName> team = TeamName::create("lankacell");
/// Revision next = Revision(4).next();
/// \endcode
#pragma once

#include "persimmondoor/core/Invariant.h"

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace persimmondoor {

/// Longest accepted name, in bytes.
inline constexpr size_t maximumNameBytes = 128;

/// Checks that `text` is 1 to `maximumNameBytes` bytes of letters, digits, '.', '_', '-', ':' and '/'.
/// \return OK, or InvalidArgument that says what is wrong.
absl::Status checkName(std::string_view text);

/// A validated, immutable name. `Tag` only distinguishes kinds of names.
template <typename Tag>
class Name {
public:
    Name() = default;

    /// Validates and wraps `text`.
    /// \return the name, or InvalidArgument.
    static absl::StatusOr<Name> create(std::string text)
    {
        if (absl::Status status = checkName(text); !status.ok())
            return status;
        return Name(std::move(text));
    }

    /// Wraps `text`, which must be a valid name; an invalid one breaks an invariant and aborts the process.
    static Name of(std::string text)
    {
        assertInvariant(checkName(text).ok(), "name is valid");
        return Name(std::move(text));
    }

    const std::string& value() const { return value_; }
    bool empty() const { return value_.empty(); }
    auto operator<=>(const Name&) const = default;

private:
    explicit Name(std::string text)
        : value_(std::move(text))
    {
    }

    std::string value_;
};

using TeamName = Name<struct TeamTag>;
using ServiceName = Name<struct ServiceTag>;
using WorkerName = Name<struct WorkerTag>;
using RackName = Name<struct RackTag>;
using FailureDomainName = Name<struct FailureDomainTag>;
using ProcessName = Name<struct ProcessTag>;
using EndpointName = Name<struct EndpointTag>;
using RequestId = Name<struct RequestTag>;
using JobId = Name<struct JobTag>;
using TaskId = Name<struct TaskTag>;

/// A counter that only increases. `Tag` only distinguishes kinds of counters.
template <typename Tag>
class Counter {
public:
    constexpr Counter() = default;
    constexpr explicit Counter(uint64_t value)
        : value_(value)
    {
    }

    constexpr uint64_t value() const { return value_; }
    constexpr Counter next() const { return Counter(value_ + 1); }
    auto operator<=>(const Counter&) const = default;

private:
    uint64_t value_ { 0 };
};

/// Version of one subtree of the settings.
using Revision = Counter<struct RevisionTag>;
/// Number of one ownership or leadership; increases with each new owner or leader.
using Epoch = Counter<struct EpochTag>;
/// Number of one run of a task; serves as fencing token.
using Attempt = Counter<struct AttemptTag>;
/// Number of one instance of a process or worker; increases with each restart.
using Incarnation = Counter<struct IncarnationTag>;
/// Position of a message among those of one incarnation of a sender.
using Sequence = Counter<struct SequenceTag>;
/// Number of a job partition.
using PartitionNumber = Counter<struct PartitionTag>;

} // namespace persimmondoor

template <typename Tag>
struct std::hash<persimmondoor::Name<Tag>> {
    size_t operator()(const persimmondoor::Name<Tag>& name) const { return std::hash<std::string>()(name.value()); }
};
