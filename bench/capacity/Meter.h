// Reads the processor time of this thread and the memory of this process.
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstdint>

namespace persimmondoor::capacity {

// Processor time of this thread, in microseconds.
double threadMicroseconds();

// Bytes in use on the heap.
double heapBytes();

// Resident memory of this process, in bytes.
double residentBytes();

} // namespace persimmondoor::capacity
