// The size that the system is designed for, and what one node and the store may spend there.
#pragma once

namespace persimmondoor::capacity {

// The size that the system is designed for.
inline constexpr double workers = 6'300;
inline constexpr double startsPerSecond = 3'900;
inline constexpr double runningTasks = 24'000 + 180'000;
inline constexpr double batchTasks = 180'000;
inline constexpr double jobsPerDay = 47'000;
inline constexpr double failureDomains = 15;
inline constexpr double regions = 6;
inline constexpr double settingsChangesPerDay = 3'000;
inline constexpr double hostsReplacedPerDay = 130 + 530;
inline constexpr double secondsPerDay = 86'400;

// Limits of the resources that one node may spend on control.
inline constexpr double nodeBytesPerSecond = 4'000;
inline constexpr double nodeMemoryBytes = 128e6;
inline constexpr double nodeMicrosecondsPerSecond = 31'000;
// Limits of the store. The requirement says "several hundred" writes a second; 300 is the cautious reading.
inline constexpr double storeWritesPerSecond = 300;
inline constexpr double storeReadsPerSecond = 2'000;

} // namespace persimmondoor::capacity
