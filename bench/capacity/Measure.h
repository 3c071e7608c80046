// The measurements behind docs/CAPACITY.md.
#pragma once

#include "Slope.h"

namespace persimmondoor::capacity {

// An entry: memory of its view and router against workers, processor time of announcements and of routing.
Slopes measureEntry();

// The owner of a job partition: memory, snapshot and recovery against live tasks; journal bytes and processor time
// against starts, each with the end of the task.
Slopes measureOwner();

// Ownership of partitions: store writes and reads a second at rest against partitions, among 1,000 processes.
Slopes measureLeases();

// An agent's host: bytes on the wire of probes, starts and renewals.
Slopes measureHost();

// Entries and agents running in this process: bytes, processor time and memory against the number of agents.
Slopes measureSystem();

// All of them, in the order of the page.
Slopes measureAll();

} // namespace persimmondoor::capacity
