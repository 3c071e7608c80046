#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/WorkerCalls.h"

namespace persimmondoor::workflow {

OrderNumber numberOf(const Order& order)
{
    return std::visit([](const auto& alternative) { return alternative.number_; }, order);
}

const RunKey& runOf(const Order& order)
{
    return std::visit([](const auto& alternative) -> const RunKey& { return alternative.run_; }, order);
}

std::string_view describe(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Pending:
        return "pending";
    case JobPhase::Running:
        return "running";
    case JobPhase::Completed:
        return "completed";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view describe(StartRefusal refusal)
{
    switch (refusal) {
    case StartRefusal::Fenced:
        return "the worker has seen a higher fence";
    case StartRefusal::StaleRun:
        return "the run is not newer than one that ended or was stopped on the worker";
    case StartRefusal::OrderExpired:
        return "the lease of the order had expired";
    case StartRefusal::NoRoom:
        return "the free capacity of the worker is too small";
    case StartRefusal::NoTicket:
        return "the ticket is missing or has expired";
    case StartRefusal::Unavailable:
        return "the worker is unavailable";
    case StartRefusal::Malformed:
        return "the worker could not decode the order";
    }
    return "unknown";
}

namespace {

    struct AnswerText {
        std::string operator()(const Accepted&) const { return "accepted"; }
        std::string operator()(const NotAccepted& answer) const { return concat("not accepted: ", answer.reason_); }
        std::string operator()(const Malformed& answer) const { return concat("malformed: ", answer.reason_); }
        std::string operator()(const NoSuchQueue&) const { return "no such queue"; }
        std::string operator()(const NoSuchJob&) const { return "no such job"; }
        std::string operator()(const JobStatus& answer) const { return std::string(describe(answer.phase_)); }
        std::string operator()(const WaitingCount& answer) const { return concat(answer.jobs_, " waiting"); }
        std::string operator()(const CancelAccepted&) const { return "cancellation stored"; }
        std::string operator()(const OutcomeUnknown& answer) const { return concat("unknown: ", answer.reason_); }
        std::string operator()(const NotLeader& answer) const { return concat("not the leader: ", answer.reason_); }
        std::string operator()(const JobUnreadable&) const { return "unknown: the rows of the job cannot be read"; }
    };

} // namespace

bool deniesEffect(const ClientVerb& verb, const ClientAnswer& answer)
{
    if (std::holds_alternative<GetStatus>(verb))
        return false;
    return std::holds_alternative<NotAccepted>(answer) || std::holds_alternative<NotLeader>(answer) || std::holds_alternative<NoSuchQueue>(answer) || std::holds_alternative<Malformed>(answer);
}

std::string describe(const ClientAnswer& answer)
{
    return std::visit(AnswerText(), answer);
}

} // namespace persimmondoor::workflow
