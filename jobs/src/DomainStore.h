// Operators' routes of failure domains.
#pragma once

#include "persimmondoor/jobs/Front.h"

namespace persimmondoor::jobs {

// All domains, or one with 404 for an unknown name.
boost::asio::awaitable<http::Response> showDomains(JobsFront, http::Request);

// Takes a domain out of service or puts it back if its version is the one that the operator has seen. 409 with the present
// state if another operator was first; 503 if nothing was changed; 504 if that is not known.
boost::asio::awaitable<http::Response> changeDomain(JobsFront, http::Request);

} // namespace persimmondoor::jobs
