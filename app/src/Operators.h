// The operators' side of an entry: its settings and the paths of the operators' API.
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

// The workers that announce themselves, for the operators' lists.
class Directory {
public:
    explicit Directory(const boost::asio::any_io_executor&);

    // Takes in a change of the view; dropped if the mailbox is full, as announcements go on.
    void learn(membership::ViewAction) const;
    boost::asio::awaitable<std::vector<membership::Announcement>> workers() const;

    struct Ask {
        Reply<std::vector<membership::Announcement>> reply_;
    };
    using Message = std::variant<membership::ViewAction, Ask>;

private:
    Mailbox<Message> mailbox_;
};

class Operators {
public:
    // Starts the entry's settings; the router learns each service that they define, jobs each quota.
    Operators(const boost::asio::any_io_executor&, const Clock&, const settings::Site&, const settings::EntrySite&, routing::RouterActor,
        std::shared_ptr<JobsPart>);

    // All paths of the operators' API.
    http::Routes routes() const;
    // Answers for announcements.
    membership::HintSource hints() const;
    void learn(const membership::ViewAction& action) const { directory_.learn(action); }
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
