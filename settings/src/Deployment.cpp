#include "persimmondoor/settings/Deployment.h"

#include "Reader.h"

namespace persimmondoor::settings {

static constexpr int64_t highestPort = 65'535;
static constexpr double minimumProcessors = 0.001;
static constexpr double maximumProcessors = 1024;
static constexpr int64_t bytesPerMegabyte = 1'000'000;
static constexpr int64_t minimumMegabytes = 16;
static constexpr int64_t maximumMegabytes = 1'000'000;
static constexpr int64_t minimumDescriptors = 64;
static constexpr int64_t maximumDescriptors = 1'000'000;
static constexpr int64_t maximumBoundMs = 3'600'000;
static constexpr double maximumFarFactor = 100;
// Below it, workers would count as slow by the spread of their run times.
static constexpr double minimumSlowFactor = 2;
static constexpr double maximumSlowFactor = 100;

static std::optional<Address> readOptionalAddress(const Reader& reader, std::string_view name)
{
    if (!reader.has(name))
        return std::nullopt;
    return reader.field(name).address();
}

static Duration readMilliseconds(const Reader& reader, std::string_view name, Duration fallback)
{
    if (!reader.has(name))
        return fallback;
    return std::chrono::milliseconds(reader.field(name).integer(1, maximumBoundMs));
}

static DeploymentBounds readBounds(const Reader& reader)
{
    DeploymentBounds bounds;
    if (!reader.expectObject({ "shutdown_ms", "status_retention_ms", "longest_lease_ms", "harm_ms", "far_factor", "slow_factor" }))
        return bounds;
    bounds.shutdown_ = readMilliseconds(reader, "shutdown_ms", bounds.shutdown_);
    bounds.statusRetention_ = readMilliseconds(reader, "status_retention_ms", bounds.statusRetention_);
    bounds.longestLease_ = readMilliseconds(reader, "longest_lease_ms", bounds.longestLease_);
    bounds.harm_ = readMilliseconds(reader, "harm_ms", bounds.harm_);
    if (reader.has("far_factor"))
        bounds.farFactor_ = reader.field("far_factor").number(1, maximumFarFactor);
    if (reader.has("slow_factor"))
        bounds.slowFactor_ = reader.field("slow_factor").number(minimumSlowFactor, maximumSlowFactor);
    return bounds;
}

static DeploymentLimits readLimits(const Reader& reader)
{
    DeploymentLimits limits;
    if (!reader.expectObject({ "memory_mb", "descriptors" }))
        return limits;
    if (reader.has("memory_mb"))
        limits.memoryBytes_ = static_cast<uint64_t>(reader.field("memory_mb").integer(minimumMegabytes, maximumMegabytes) * bytesPerMegabyte);
    if (reader.has("descriptors"))
        limits.descriptors_ = static_cast<size_t>(reader.field("descriptors").integer(minimumDescriptors, maximumDescriptors));
    return limits;
}

static Deployment readDeployment(const Reader& reader)
{
    Deployment deployment;
    if (!reader.expectObject({ "name", "domain", "domains", "host", "internal_port", "clients", "readiness", "workers", "seeds", "store", "processors", "bounds", "limits" }))
        return deployment;
    deployment.name_ = reader.field("name").name<ProcessName>();
    deployment.domain_ = reader.field("domain").name<FailureDomainName>();
    reader.field("domains").forEachItem([&](const Reader& item) { deployment.domains_.push_back(item.name<FailureDomainName>()); });
    deployment.host_ = reader.field("host").text();
    deployment.internalPort_ = static_cast<uint16_t>(reader.field("internal_port").integer(1, highestPort));
    deployment.clients_ = readOptionalAddress(reader, "clients");
    deployment.readiness_ = readOptionalAddress(reader, "readiness");
    deployment.workers_ = readOptionalAddress(reader, "workers");
    reader.field("seeds").forEachItem([&](const Reader& item) { deployment.seeds_.push_back(item.address()); });
    deployment.store_ = reader.field("store").address();
    if (reader.has("processors"))
        deployment.processors_ = reader.field("processors").number(minimumProcessors, maximumProcessors);
    deployment.bounds_ = readBounds(reader.field("bounds"));
    if (reader.has("limits"))
        deployment.limits_ = readLimits(reader.field("limits"));
    return deployment;
}

absl::StatusOr<Deployment> parseDeployment(std::string_view text)
{
    Deployment deployment;
    absl::Status status = readTree(text, [&](const Reader& reader) { deployment = readDeployment(reader); });
    if (!status.ok())
        return status;
    return deployment;
}

} // namespace persimmondoor::settings
