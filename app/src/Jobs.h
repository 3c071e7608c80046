// The part of a process that owns job partitions: the jobs actor, the ownership actor, and their routes.
#pragma once

#include "persimmondoor/http/Routes.h"
#include "persimmondoor/jobs/Front.h"
#include "persimmondoor/leases/OwnershipActor.h"
#include "persimmondoor/settings/Site.h"
#include "persimmondoor/settings/Tree.h"

namespace persimmondoor::app {

class JobsPart {
public:
    // Starts the jobs actor; it owns no partitions yet.
    static JobsPart create(const boost::asio::any_io_executor&, const settings::Site&);

    void offer(rpc::Interfaces&) const;
    void offer(http::Routes& routes) const { jobs::offerJobs(routes, front_); }

    // Sets the workers and their addresses.
    void setWorkers(const settings::Site&) const;
    // Applies the quota of a team's subtree that came into force. Ignores the operators subtree.
    void applySettings(const settings::Subtree&);
    // Starts to claim partitions for `process`, which other processes reach at `address`.
    void startOwnership(const ProcessName& process, const Address& address);
    // Releases the partitions and stops the actors.
    boost::asio::awaitable<void> shutDown();

private:
    JobsPart(boost::asio::any_io_executor, store::TableClient, jobs::JobsActor, jobs::JobsFront, uint32_t candidates, std::map<TeamName, Resources> quotas);

    boost::asio::any_io_executor executor_;
    store::TableClient table_;
    jobs::JobsActor jobs_;
    jobs::JobsFront front_;
    uint32_t candidates_ { 1 };
    std::map<TeamName, Resources> quotas_;
    std::optional<leases::OwnershipActor> ownership_;
};

} // namespace persimmondoor::app
