/// The faults of one run, drawn from its seed: in series, overlapping, some of each kind.
///
/// \code
/// FaultPlan plan = makeFaultPlan(seed, Fleet { 3, 6 }, std::chrono::seconds(12));
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::soak {

/// Number of the processes; each agent has one worker.
struct Fleet {
    uint32_t entries_ { 3 };
    uint32_t agents_ { 6 };
    auto operator<=>(const Fleet&) const = default;
};

/// A process of the system: the entries come first, then the agents.
struct KillProcess {
    uint32_t process_ { 0 };
    auto operator<=>(const KillProcess&) const = default;
};
/// Asks the process to shut down, as the platform does when it replaces one.
struct StopProcess {
    uint32_t process_ { 0 };
    auto operator<=>(const StopProcess&) const = default;
};
struct PauseProcess {
    uint32_t process_ { 0 };
    Duration duration_ { 0 };
    auto operator<=>(const PauseProcess&) const = default;
};
struct CrashWorker {
    uint32_t worker_ { 0 };
    auto operator<=>(const CrashWorker&) const = default;
};
/// What a link does to its traffic while the fault lasts.
enum class LinkFault : uint8_t {
    /// Bytes are held back by a delay.
    Delay,
    /// All connections are reset, and new ones closed at once.
    Reset,
    /// Nothing is delivered to the server.
    CutForth,
    /// Nothing is delivered to the client.
    CutBack,
    /// The open connections deliver nothing for good, also after the fault; new ones work.
    Silence,
};
/// The link between a process and the store.
struct BreakStoreLink {
    uint32_t process_ { 0 };
    LinkFault fault_ { LinkFault::Delay };
    Duration duration_ { 0 };
    auto operator<=>(const BreakStoreLink&) const = default;
};
/// The link between an agent and its worker.
struct BreakWorkerLink {
    uint32_t worker_ { 0 };
    LinkFault fault_ { LinkFault::Delay };
    Duration duration_ { 0 };
    auto operator<=>(const BreakWorkerLink&) const = default;
};
enum class StoreFault : uint8_t {
    Refuses,
    Silent,
    Slow,
    /// Some transactions take effect and are not answered.
    LosesAnswers,
    /// Feeds must begin anew.
    ForgetsHistory,
};
struct BreakStore {
    StoreFault fault_ { StoreFault::Refuses };
    Duration duration_ { 0 };
    auto operator<=>(const BreakStore&) const = default;
};

using Fault = std::variant<KillProcess, StopProcess, PauseProcess, CrashWorker, BreakStoreLink, BreakWorkerLink, BreakStore>;

/// Text for the progress lines.
std::string describe(const Fault&);

struct PlannedFault {
    /// Since the begin of the run.
    Duration at_ { 0 };
    Fault fault_;
    auto operator<=>(const PlannedFault&) const = default;
};
/// In the order of their times.
using FaultPlan = std::vector<PlannedFault>;

/// Draws the faults of a run; the same seed gives the same plan on each machine.
/// \param trouble time within which faults begin.
FaultPlan makeFaultPlan(uint64_t seed, const Fleet&, Duration trouble);

} // namespace persimmondoor::soak
