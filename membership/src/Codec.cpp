#include "Codec.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::membership {

// Upper bound on the endpoints of one announcement. The size of a message does not bound the length of its lists,
// because a list of empty structs occupies no space.
static constexpr unsigned maximumEndpoints = 1'000;

void encode(const Announcement& announcement, wire::Announcement::Builder wire)
{
    wire.setWorker(announcement.worker_.value());
    wire.setDomain(announcement.domain_.value());
    wire.setRack(announcement.rack_.value());
    wire.setIncarnation(announcement.incarnation_.value());
    wire.setSequence(announcement.sequence_.value());
    wire.setRpcAddress(announcement.rpcAddress_.text());
    wire.setLeaving(announcement.isLeaving_);
    auto offers = wire.initEndpoints(static_cast<unsigned>(announcement.endpoints_.size()));
    for (unsigned index = 0; index < offers.size(); ++index) {
        const EndpointOffer& offer = announcement.endpoints_[index];
        offers[index].setEndpoint(offer.endpoint_.value());
        offers[index].setService(offer.service_.value());
        offers[index].setTeam(offer.team_.value());
        offers[index].setSlots(offer.slots_);
        offers[index].setConnections(offer.connections_);
    }
}

static absl::StatusOr<EndpointOffer> decodeOffer(wire::EndpointOffer::Reader wire)
{
    auto endpoint = EndpointName::create(wire.getEndpoint().cStr());
    auto service = ServiceName::create(wire.getService().cStr());
    auto team = TeamName::create(wire.getTeam().cStr());
    for (const absl::Status& status : { endpoint.status(), service.status(), team.status() }) {
        if (!status.ok())
            return status;
    }
    return EndpointOffer { *endpoint, *service, *team, wire.getSlots(), wire.getConnections() };
}

absl::StatusOr<Announcement> decode(wire::Announcement::Reader wire)
{
    auto worker = WorkerName::create(wire.getWorker().cStr());
    auto domain = FailureDomainName::create(wire.getDomain().cStr());
    auto rack = RackName::create(wire.getRack().cStr());
    auto address = Address::parse(wire.getRpcAddress().cStr());
    for (const absl::Status& status : { worker.status(), domain.status(), rack.status(), address.status() }) {
        if (!status.ok())
            return status;
    }
    Announcement announcement { *worker, *domain, *rack, Incarnation(wire.getIncarnation()), Sequence(wire.getSequence()), *address, {}, wire.getLeaving() };
    if (wire.getEndpoints().size() > maximumEndpoints)
        return absl::InvalidArgumentError("announcement lists more than 1000 endpoints");
    for (auto item : wire.getEndpoints()) {
        auto offer = decodeOffer(item);
        if (!offer.ok())
            return offer.status();
        announcement.endpoints_.push_back(*std::move(offer));
    }
    return announcement;
}

static void encodeHint(const settings::Hint& hint, wire::Answer::Settings::Builder wire)
{
    std::visit(Visitor {
                   [&](const settings::UpToDate&) { wire.setUpToDate(); },
                   [&](const settings::AskAgain&) { wire.setAskAgain(); },
                   [&](const settings::FetchHere&) { wire.setFetchHere(); },
                   [&](const settings::FetchFrom& from) { wire.setFetchFrom(from.source_.text()); },
               },
        hint);
}

static settings::Hint decodeHint(wire::Answer::Settings::Reader wire)
{
    if (wire.isFetchHere())
        return settings::FetchHere {};
    if (wire.isAskAgain())
        return settings::AskAgain {};
    if (!wire.isFetchFrom())
        return settings::UpToDate {};
    auto source = Address::parse(wire.getFetchFrom().cStr());
    if (!source.ok())
        return settings::UpToDate {};
    return settings::FetchFrom { *std::move(source) };
}

void encode(const ViewAnswer& answer, wire::Answer::Builder wire)
{
    wire.setKnown(answer.isKnown_);
    wire.setIntervalMilliseconds(static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(answer.keepAliveInterval_).count()));
    encodeHint(answer.settingsHint_, wire.initSettings());
}

ViewAnswer decode(wire::Answer::Reader wire)
{
    return { wire.getKnown(), std::chrono::milliseconds(wire.getIntervalMilliseconds()), {}, decodeHint(wire.getSettings()) };
}

} // namespace persimmondoor::membership
