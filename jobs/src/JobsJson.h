// Parses submitted jobs from JSON and converts answers to JSON.
#pragma once

#include "persimmondoor/http/Message.h"
#include "persimmondoor/jobs/Requests.h"

#include <boost/json/object.hpp>

namespace persimmondoor::jobs {

// Parses {"id", "team", "command"} and optionally "cores" and "memory_gb" (1 each if absent), "accelerators", "tasks", "tier"
// ("paying" | "trial"), "urgent", "failure_budget", "spread" {"level", "maximum"} or "gang" {"within"}.
// Returns InvalidArgument with the path of the faulty field.
absl::StatusOr<JobSpec> parseJob(std::string_view text);

// Parses {"jobs": ["TEAM:NAME", ...]}.
absl::StatusOr<std::vector<JobId>> parseJobIds(std::string_view text);

boost::json::object toJson(const JobSummary&);
// With `explained`, each task has its explanation instead of its failures, checkpoint and result.
boost::json::object toJson(const JobDetails&, bool explained);

// Converts an owner's answer to an HTTP response.
http::Response toResponse(const JobsAnswer&, bool explained);

} // namespace persimmondoor::jobs
