/// Calls of clients to queues and their answers, independent of any protocol.
///
/// \code
/// ClientCall call { "nony24.example", "/lohu930/5c0e7a21d94b36f8", Cancel {}, std::chrono::seconds(3) };
/// \endcode
#pragma once

#include "persimmondoor/workflow/Exchange.h"

#include <optional>
#include <string>
#include <variant>

namespace persimmondoor::workflow {

/// Submits a job under the id in the path. Idempotent by that id.
struct Submit {
    JobSpec spec_;
    bool operator==(const Submit&) const = default;
};
/// Queries the phase of a job, or the number of waiting jobs if the path names a queue only.
struct GetStatus {
    auto operator<=>(const GetStatus&) const = default;
};
struct Cancel {
    auto operator<=>(const Cancel&) const = default;
};

using ClientVerb = std::variant<Submit, GetStatus, Cancel>;

/// When a call becomes void: by the steady clock of the leader's host, in the term of that leader. The time bounds how late a
/// submission or cancellation can take effect whose bytes are held up on the way.
struct CallExpiry {
    LeaderEpoch epoch_;
    Instant at_;
    auto operator<=>(const CallExpiry&) const = default;
};

struct ClientCall {
    std::string host_;
    std::string path_;
    ClientVerb verb_;
    /// Time until the client's time-out.
    Duration timeLeft_ { 0 };
    /// False once an entry has relayed the call; a call is relayed at most once.
    bool mayRelay_ { true };
    /// Set by the entry that the client has called; empty if it does not know the leader's clock.
    std::optional<CallExpiry> expiry_ {};
    bool operator==(const ClientCall&) const = default;
};

enum class JobPhase : uint8_t {
    Pending,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// The job is stored.
struct Accepted {
    auto operator<=>(const Accepted&) const = default;
};
/// The job was not accepted, and this call will not store it later.
struct NotAccepted {
    std::string reason_;
    Duration retryAfter_ { 0 };
    auto operator<=>(const NotAccepted&) const = default;
};
/// The request is invalid.
struct Malformed {
    std::string reason_;
    auto operator<=>(const Malformed&) const = default;
};
struct NoSuchQueue {
    auto operator<=>(const NoSuchQueue&) const = default;
};
struct NoSuchJob {
    auto operator<=>(const NoSuchJob&) const = default;
};
struct JobStatus {
    JobPhase phase_ { JobPhase::Pending };
    auto operator<=>(const JobStatus&) const = default;
};
struct WaitingCount {
    uint64_t jobs_ { 0 };
    auto operator<=>(const WaitingCount&) const = default;
};
/// The cancellation is stored, or the job had ended before.
struct CancelAccepted {
    auto operator<=>(const CancelAccepted&) const = default;
};
/// The call may or may not have taken effect; a retry of the same call is safe.
struct OutcomeUnknown {
    std::string reason_;
    auto operator<=>(const OutcomeUnknown&) const = default;
};
/// The job may have been accepted, but its rows cannot be read; nothing was done.
struct JobUnreadable {
    Duration retryAfter_ { 0 };
    auto operator<=>(const JobUnreadable&) const = default;
};
/// This process is not the leader; nothing was done.
struct NotLeader {
    std::string reason_;
    auto operator<=>(const NotLeader&) const = default;
};

using ClientAnswer = std::variant<Accepted, NotAccepted, Malformed, NoSuchQueue, NoSuchJob, JobStatus, WaitingCount, CancelAccepted, OutcomeUnknown, NotLeader, JobUnreadable>;

/// True if the answer says that the call has had no effect and will have none. While an earlier attempt of the call may still
/// arrive, that cannot be said. A status call has no effect, so that no answer to it is such a denial.
bool deniesEffect(const ClientVerb&, const ClientAnswer&);

/// Text of a phase for log lines.
std::string_view describe(JobPhase);
/// Text of an answer for log lines.
std::string describe(const ClientAnswer&);

} // namespace persimmondoor::workflow
