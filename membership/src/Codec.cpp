#include "Codec.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::membership {

// Endpoints of one announcement. A list of empty items takes no space in a message, so its size bounds nothing.
static constexpr unsigned maximumEndpoints = 1'000;

void encode(const Announcement& announcement, wire::Announcement::Builder wire)
{
    wire.setWorker(announcement.worker_.value());
    wire.setDomain(announcement.domain_.value());
    wire.setRack(announcement.rack_.value());
    wire.setIncarnation(announcement.incarnation_.value());
    wire.setSequence(announcement.sequence_.value());
    wire.setRpcAddress(announcement.rpcAddress_.text());
    wire.setLeaving(announcement.leaving_);
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
        return absl::InvalidArgumentError("too many endpoints");
    for (auto item : wire.getEndpoints()) {
        auto offer = decodeOffer(item);
        if (!offer.ok())
            return offer.status();
        announcement.endpoints_.push_back(*std::move(offer));
    }
    return announcement;
}

void encode(const settings::Hint& hint, wire::AnnounceAnswer::Builder wire)
{
    auto group = wire.initSettings();
    std::visit(Visitor {
                   [&](const settings::UpToDate&) { group.setUpToDate(); },
                   [&](const settings::AskAgain&) { group.setUpToDate(); },
                   [&](const settings::FetchHere&) { group.setFetchHere(); },
                   [&](const settings::FetchFrom& from) { group.setFetchFrom(from.source_.text()); },
               },
        hint);
}

settings::Hint decodeHint(wire::AnnounceAnswer::Reader wire)
{
    auto group = wire.getSettings();
    if (group.isFetchHere())
        return settings::FetchHere {};
    if (!group.isFetchFrom())
        return settings::UpToDate {};
    auto source = Address::parse(group.getFetchFrom().cStr());
    if (!source.ok())
        return settings::UpToDate {};
    return settings::FetchFrom { *std::move(source) };
}

} // namespace persimmondoor::membership
