// Reads submitted jobs from JSON and writes answers as JSON.
#pragma once

#include "persimmondoor/http/Message.h"
#include "persimmondoor/jobs/Requests.h"

#include <boost/json/object.hpp>

namespace persimmondoor::jobs {

// {"id", "team", "command", "cores", "memory_gb"} and optionally "accelerators", "tasks", "tier" ("paying" | "trial"),
// "urgent", "failure_budget", "spread" {"level", "maximum"} or "gang" {"within"}.
// Returns InvalidArgument that names the field.
absl::StatusOr<JobSpec> parseJob(std::string_view text);

// {"jobs": ["TEAM:NAME", ...]}
absl::StatusOr<std::vector<JobId>> parseJobIds(std::string_view text);

boost::json::object toJson(const JobSummary&);
boost::json::object toJson(const JobDetails&, bool explained);

// The answer of an owner as an HTTP response.
http::Response toResponse(const JobsAnswer&, bool explained);

} // namespace persimmondoor::jobs
