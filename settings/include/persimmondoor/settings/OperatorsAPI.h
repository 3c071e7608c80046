/// The operators' HTTP paths for settings.
///
/// | path | answer |
/// | --- | --- |
/// | GET /v1/settings | the subtrees with their revisions |
/// | GET /v1/settings/NAME[?revision=N] | a subtree with its contents |
/// | PUT /v1/settings/NAME?expect=N&write-id=ID[&dry-run=true] | changes it; 400, 401, 403, 409, 503 or 504 with a JSON error |
/// | POST /v1/settings-validate/NAME | checks contents |
/// | GET /v1/settings-history/NAME | the newest revisions, at most 100, oldest first |
/// | GET /v1/settings-diff/NAME?from=N[&to=N] | what changed between two revisions |
/// | GET /v1/settings-status | the processes, and whether each has the current settings |
/// | GET /v1/teams, GET /v1/quota | the teams, and their quotas |
///
/// \code
/// offerSettingsAPI(routes, OperatorsAPI { name, settings, table, peers, agents });
/// \endcode
#pragma once

#include "persimmondoor/http/Routes.h"
#include "persimmondoor/settings/SettingsActor.h"
#include "persimmondoor/store/TableClient.h"

#include <functional>

namespace persimmondoor::settings {

/// Dependencies of the request handlers.
struct OperatorsAPI {
    ProcessName process_;
    SettingsActor settings_;
    store::TableClient table_;
    /// The other entries; each accepted change is pushed to them.
    std::vector<Address> peers_;
    /// Returns the addresses of the known agents; each accepted change is pushed to them, too.
    std::function<boost::asio::awaitable<std::vector<Address>>()> agents_;
};

void offerSettingsAPI(http::Routes&, const OperatorsAPI&);

} // namespace persimmondoor::settings
