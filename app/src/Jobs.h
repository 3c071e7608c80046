// The part of a process that owns job partitions: the actor of jobs, the actor of ownership, and their routes.
#pragma once

#include "persimmondoor/http/Routes.h"
#include "persimmondoor/jobs/Front.h"
#include "persimmondoor/leases/OwnershipActor.h"
#include "persimmondoor/settings/Site.h"
#include "persimmondoor/settings/Tree.h"

namespace persimmondoor::app {

class JobsPart {
public:
    // Starts the actor of jobs; it owns nothing yet.
    static JobsPart create(const boost::asio::any_io_executor&, const settings::Site&);

    void offer(rpc::Interfaces&) const;
    void offer(http::Routes& routes) const { jobs::offerJobs(routes, front_); }

    // Takes in where the workers listen.
    void learnWorkers(const settings::Site&) const;
    // Takes in a subtree that is in force: a team's quota.
    void learnSettings(const settings::Subtree&);
    // Begins to claim partitions for `process`, which listens at `address` for other processes.
    void own(const ProcessName& process, const Address& address);
    // Gives the partitions back and ends.
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
