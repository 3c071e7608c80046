// The measurements behind docs/CAPACITY.md.
#pragma once

#include "Slope.h"

namespace persimmondoor::capacity {

// An entry: memory of its view and router per worker, processor time per announcement and per routed request.
Slopes measureEntry();

// The owner of a job partition: memory, snapshot size and recovery time per live task; journal bytes and processor
// time per start, including the end of the task.
Slopes measureOwner();

// Ownership of partitions: store writes and reads a second per partition, among 1,000 processes without failures.
Slopes measureLeases();

// An agent's host: bytes on the wire per probe, per start, per event and per renewed task.
Slopes measureHost();

// Entries and agents that run in this process: bytes, processor time and memory per agent.
Slopes measureSystem();

// All measurements, in the order of the page.
Slopes measureAll();

} // namespace persimmondoor::capacity
