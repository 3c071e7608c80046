#include "Codec.h"

#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::admission {

// Upper bound on the header fields of one message; a longer list is decoded as empty. The size of a message does not
// bound the length of its lists, because a list of empty structs occupies no space.
static constexpr unsigned maximumHeaders = 1'000;

static void encodeHeaders(const std::vector<HeaderField>& headers, capnp::List<wire::Header>::Builder wire)
{
    for (unsigned index = 0; index < wire.size(); ++index) {
        wire[index].setName(headers[index].name_);
        wire[index].setValue(headers[index].value_);
    }
}

static std::vector<HeaderField> decodeHeaders(capnp::List<wire::Header>::Reader wire)
{
    std::vector<HeaderField> headers;
    if (wire.size() > maximumHeaders)
        return headers;
    for (auto field : wire)
        headers.push_back({ field.getName().cStr(), field.getValue().cStr() });
    return headers;
}

static capnp::Data::Reader toData(const std::string& text)
{
    return { reinterpret_cast<const capnp::byte*>(text.data()), text.size() };
}

static std::string fromData(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}

void encode(const ServiceRequest& request, wire::Request::Builder wire)
{
    wire.setId(request.id_.value());
    wire.setService(request.service_.value());
    wire.setEndpoint(request.endpoint_.value());
    wire.setTrial(request.tier_ == Tier::Trial);
    wire.setIdempotent(request.idempotent_);
    wire.setTimeLeft(request.timeLeft_.count());
    wire.setMethod(request.method_);
    wire.setTarget(request.target_);
    encodeHeaders(request.headers_, wire.initHeaders(static_cast<unsigned>(request.headers_.size())));
    wire.setBody(toData(request.body_));
}

absl::StatusOr<ServiceRequest> decode(wire::Request::Reader wire)
{
    auto id = RequestId::create(wire.getId().cStr());
    auto service = ServiceName::create(wire.getService().cStr());
    auto endpoint = EndpointName::create(wire.getEndpoint().cStr());
    for (const absl::Status& status : { id.status(), service.status(), endpoint.status() }) {
        if (!status.ok())
            return status;
    }
    if (wire.getMethod().size() == 0 || wire.getTarget().size() == 0)
        return absl::InvalidArgumentError("request without a method or a target");
    Duration timeLeft = std::clamp(Duration(wire.getTimeLeft()), Duration(0), maximumTimeLeft);
    return ServiceRequest { *id, *service, *endpoint, wire.getTrial() ? Tier::Trial : Tier::Paying, wire.getIdempotent(),
        timeLeft, wire.getMethod().cStr(), wire.getTarget().cStr(), decodeHeaders(wire.getHeaders()), fromData(wire.getBody()) };
}

void encode(const ServiceAnswer& answer, wire::Answer::Builder wire)
{
    auto load = wire.initLoad();
    load.setRunning(answer.load_.running_);
    load.setQueued(answer.load_.queued_);
    load.setSlots(answer.load_.slots_);
    std::visit(Visitor {
                   [&](const Done& done) {
                       auto group = wire.initDone();
                       group.setStatus(static_cast<uint16_t>(done.status_));
                       encodeHeaders(done.headers_, group.initHeaders(static_cast<unsigned>(done.headers_.size())));
                       group.setBody(toData(done.body_));
                   },
                   [&](const NotRun& notRun) {
                       auto group = wire.initNotRun();
                       group.setReason(static_cast<uint16_t>(notRun.reason_));
                       group.setNotRunDetail(notRun.detail_);
                   },
                   [&](const Unknown& unknown) { wire.initUnknown().setUnknownDetail(unknown.detail_); },
               },
        answer.outcome_);
}

static NotRunReason decodeReason(uint16_t reason)
{
    return reason < static_cast<uint16_t>(NotRunReason::Unspecified) ? static_cast<NotRunReason>(reason) : NotRunReason::Unspecified;
}

static bool isHTTPStatus(uint16_t status)
{
    return status >= 100 && status <= 999;
}

static RequestOutcome decodeOutcome(wire::Answer::Reader wire)
{
    if (wire.isDone() && !isHTTPStatus(wire.getDone().getStatus()))
        return Unknown { "answer of the agent has a status outside of 100 to 999" };
    if (wire.isDone())
        return Done { wire.getDone().getStatus(), decodeHeaders(wire.getDone().getHeaders()), fromData(wire.getDone().getBody()) };
    if (wire.isNotRun())
        return NotRun { decodeReason(wire.getNotRun().getReason()), wire.getNotRun().getNotRunDetail().cStr() };
    return Unknown { wire.isUnknown() ? wire.getUnknown().getUnknownDetail().cStr() : "answer of the agent is of an unknown kind: expected done, not run or unknown" };
}

ServiceAnswer decode(wire::Answer::Reader wire)
{
    auto load = wire.getLoad();
    return { decodeOutcome(wire), { load.getRunning(), load.getQueued(), load.getSlots() } };
}

} // namespace persimmondoor::admission
