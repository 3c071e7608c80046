// Converts the messages of the scheduler to and from Cap'n Proto. Decoders return InvalidArgument for invalid names and
// for unknown alternatives, except that an unknown verb of a client's call is decoded as `GetStatus`.
#pragma once

#include "Workflow.capnp.h"
#include "persimmondoor/workflow/Record.h"
#include "persimmondoor/workflow/Remote.h"

namespace persimmondoor::workflow {

void encode(const AgentReport&, wire::Report::Builder);
absl::StatusOr<AgentReport> decode(wire::Report::Reader);

void encode(const ReportReply&, wire::Directive::Builder);
absl::StatusOr<ReportReply> decode(wire::Directive::Reader);

void encode(const ClientCall&, wire::ClientCall::Builder);
absl::StatusOr<ClientCall> decode(wire::ClientCall::Reader);

void encode(const ClientAnswer&, wire::ClientAnswer::Builder);
absl::StatusOr<ClientAnswer> decode(wire::ClientAnswer::Reader);

void encode(const LeaderView&, wire::Leader::Builder);
absl::StatusOr<LeaderView> decode(wire::Leader::Reader);

} // namespace persimmondoor::workflow
