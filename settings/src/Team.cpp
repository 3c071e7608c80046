#include "persimmondoor/settings/Team.h"

#include "ReadTeam.h"

namespace persimmondoor::settings {

static constexpr int64_t maximumDeadlineMilliseconds = 600'000;
static constexpr int64_t maximumCores = 10'000'000;
static constexpr int64_t maximumGigabytes = 100'000'000;
static constexpr int64_t maximumAccelerators = 1'000'000;
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

static ServiceSettings readService(const std::string& name, const Reader& reader)
{
    ServiceSettings service;
    auto checked = ServiceName::create(name);
    if (checked.ok())
        service.name_ = *checked;
    else
        reader.fault(std::string(checked.status().message()));
    if (!reader.expectObject({ "tier", "deadline_ms" }))
        return service;
    service.tier_ = readTier(reader.field("tier"));
    service.deadline_ = std::chrono::milliseconds(reader.field("deadline_ms").integer(1, maximumDeadlineMilliseconds));
    return service;
}

TeamSettings readTeam(const TeamName& team, const Reader& reader)
{
    TeamSettings settings { team, {}, {} };
    if (!reader.expectObject({ "services", "quota" }))
        return settings;
    reader.field("services").forEachField([&](const std::string& name, const Reader& service) { settings.services_.push_back(readService(name, service)); });
    Reader quota = reader.field("quota");
    if (quota.expectObject({ "cores", "memory_gb", "accelerators" }))
        settings.quota_ = readResources(quota);
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
