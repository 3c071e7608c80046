#include "persimmondoor/app/ServerLimits.h"

#include <algorithm>

namespace persimmondoor::app {

// A server accepts at least so many connections, and holds at least so many bytes.
static constexpr size_t minimumConnections = 8;
static constexpr uint64_t minimumBytes = 64 * 1024;
// Metrics and probes are requested without a body.
static constexpr size_t probeBodyBytes = 4096;

// One part of the descriptors or bytes goes to each kind of server; what is left goes to files, outgoing connections and the
// process itself.
static constexpr size_t requestDescriptorPart = 2;
static constexpr size_t peerDescriptorPart = 4;
static constexpr size_t operatorDescriptorPart = 16;
static constexpr size_t probeDescriptorPart = 32;
static constexpr uint64_t requestMemoryPart = 8;
static constexpr uint64_t peerMemoryPart = 4;
static constexpr uint64_t operatorMemoryPart = 32;
static constexpr uint64_t probeMemoryPart = 256;

static size_t connectionsOf(size_t descriptors, size_t part)
{
    return std::max(descriptors / part, minimumConnections);
}

static size_t bytesOf(uint64_t memoryBytes, uint64_t part)
{
    return std::max(memoryBytes / part, minimumBytes);
}

ServerLimits ServerLimits::create(uint64_t memoryBytes, size_t descriptors)
{
    ServerLimits limits;
    limits.requests_.connections_ = connectionsOf(descriptors, requestDescriptorPart);
    limits.requests_.memoryBytes_ = bytesOf(memoryBytes, requestMemoryPart);
    limits.operators_.connections_ = connectionsOf(descriptors, operatorDescriptorPart);
    limits.operators_.memoryBytes_ = bytesOf(memoryBytes, operatorMemoryPart);
    limits.probes_.connections_ = connectionsOf(descriptors, probeDescriptorPart);
    limits.probes_.memoryBytes_ = bytesOf(memoryBytes, probeMemoryPart);
    limits.probes_.bodyBytes_ = probeBodyBytes;
    limits.peers_.connections_ = connectionsOf(descriptors, peerDescriptorPart);
    limits.peers_.memoryBytes_ = bytesOf(memoryBytes, peerMemoryPart);
    limits.peers_.messageBytes_ = std::min(limits.peers_.messageBytes_, limits.peers_.memoryBytes_);
    return limits;
}

} // namespace persimmondoor::app
