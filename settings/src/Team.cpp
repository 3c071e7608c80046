#include "persimmondoor/settings/Team.h"

#include "ReadTeam.h"

namespace persimmondoor::settings {

static constexpr int64_t maximumDeadlineMilliseconds = 600'000;
static constexpr int64_t maximumCores = 10'000'000;
static constexpr int64_t maximumGigabytes = 100'000'000;
static constexpr int64_t maximumAccelerators = 1'000'000;
static constexpr double minimumShare = 0.001;
static constexpr double maximumShare = 0.999999;
static constexpr int64_t maximumWindowHours = 24 * 90;
static constexpr double maximumWeight = 1'000;
static constexpr int64_t maximumRetentionHours = 24 * 365;
static constexpr int64_t maximumHorizonSeconds = 24 * 3'600;
static constexpr int64_t milliPerCore = 1'000;
static constexpr int64_t bytesPerGigabyte = 1'000'000'000;

Resources readResources(const Reader& reader)
{
    auto resources = Resources::create(reader.field("cores").integer(0, maximumCores) * milliPerCore,
        reader.field("memory_gb").integer(0, maximumGigabytes) * bytesPerGigabyte, reader.field("accelerators").integer(0, maximumAccelerators));
    return *resources;
}

static Tier readTier(const Reader& reader)
{
    std::string text = reader.text();
    if (text != "paying" && text != "trial" && !text.empty())
        reader.fault("must be \"paying\" or \"trial\"");
    return text == "paying" ? Tier::Paying : Tier::Trial;
}

static std::optional<Objective> readObjective(const Reader& reader)
{
    if (!reader.expectObject({ "share", "latency_ms", "window_hours" }))
        return std::nullopt;
    double share = reader.field("share").number(minimumShare, maximumShare);
    Duration latency = std::chrono::milliseconds(reader.field("latency_ms").integer(1, maximumDeadlineMilliseconds));
    Duration window = std::chrono::hours(reader.field("window_hours").integer(1, maximumWindowHours));
    return Objective { share, latency, window };
}

static TeamWeights readWeights(const Reader& reader)
{
    if (!reader.expectObject({ "tail_latency", "throughput", "evictions" }))
        return {};
    return { reader.field("tail_latency").number(0, maximumWeight), reader.field("throughput").number(0, maximumWeight),
        reader.field("evictions").number(0, maximumWeight) };
}

static ServiceSettings readService(const std::string& name, const Reader& reader)
{
    ServiceSettings service;
    auto checked = ServiceName::create(name);
    if (checked.ok())
        service.name_ = *checked;
    else
        reader.fault(std::string(checked.status().message()));
    if (!reader.expectObject({ "tier", "deadline_ms", "objective" }))
        return service;
    service.tier_ = readTier(reader.field("tier"));
    service.deadline_ = std::chrono::milliseconds(reader.field("deadline_ms").integer(1, maximumDeadlineMilliseconds));
    if (reader.has("objective"))
        service.objective_ = readObjective(reader.field("objective"));
    return service;
}

TeamSettings readTeam(const TeamName& team, const Reader& reader)
{
    TeamSettings settings;
    settings.team_ = team;
    if (!reader.expectObject({ "services", "quota", "weights", "job_retention_hours", "renewal_horizon_s" }))
        return settings;
    reader.field("services").forEachField([&](const std::string& name, const Reader& service) { settings.services_.push_back(readService(name, service)); });
    Reader quota = reader.field("quota");
    if (quota.expectObject({ "cores", "memory_gb", "accelerators" }))
        settings.quota_ = readResources(quota);
    if (reader.has("weights"))
        settings.weights_ = readWeights(reader.field("weights"));
    if (reader.has("job_retention_hours"))
        settings.jobRetention_ = std::chrono::hours(reader.field("job_retention_hours").integer(1, maximumRetentionHours));
    if (reader.has("renewal_horizon_s"))
        settings.renewalHorizon_ = std::chrono::seconds(reader.field("renewal_horizon_s").integer(1, maximumHorizonSeconds));
    return settings;
}

absl::StatusOr<TeamSettings> parseTeam(const TeamName& team, std::string_view text)
{
    TeamSettings settings;
    absl::Status status = readTree(text, [&](const Reader& reader) { settings = readTeam(team, reader); });
    if (!status.ok())
        return status;
    return settings;
}

} // namespace persimmondoor::settings
