// The operators' part of an entry: its settings and the operators' API.
#pragma once

#include "Jobs.h"
#include "persimmondoor/burn/BurnActor.h"
#include "persimmondoor/http/Routes.h"
#include "persimmondoor/membership/ViewActor.h"
#include "persimmondoor/routing/RouterActor.h"
#include "persimmondoor/settings/SettingsActor.h"
#include "persimmondoor/settings/Site.h"
#include "persimmondoor/store/TableClient.h"

namespace persimmondoor::app {

// Keeps the announcements of the workers that are up, for the lists of the operators' API.
class Directory {
public:
    explicit Directory(const boost::asio::any_io_executor&);

    // Handles a change of the membership view. The change is dropped if the mailbox is full.
    void handle(membership::ViewAction) const;
    boost::asio::awaitable<std::vector<membership::Announcement>> workers() const;

    struct WorkersRequest {
        Reply<std::vector<membership::Announcement>> reply_;
    };
    using Message = std::variant<membership::ViewAction, WorkersRequest>;

private:
    Mailbox<Message> mailbox_;
};

class Operators {
public:
    // Starts the entry's settings actor. The router is updated with each service that the settings define, and `jobs` with
    // each quota.
    Operators(const boost::asio::any_io_executor&, const Clock&, const settings::Site&, const settings::EntrySite&, routing::RouterActor,
        std::shared_ptr<JobsPart>);

    // The routes of the operators' API.
    http::Routes routes() const;
    // The settings hints for the answers to announcements.
    membership::HintSource hints() const;
    void handle(const membership::ViewAction& action) const { directory_.handle(action); }
    const settings::SettingsActor& settings() const { return settings_; }
    const burn::BurnActor& burn() const { return burn_; }

private:
    settings::EntrySite self_;
    store::TableClient table_;
    std::vector<Address> peers_;
    Directory directory_;
    routing::RouterActor router_;
    burn::BurnActor burn_;
    settings::SettingsActor settings_;
};

} // namespace persimmondoor::app
