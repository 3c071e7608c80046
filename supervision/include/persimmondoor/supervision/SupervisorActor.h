/// Executes the agent's decisions: receives heartbeats, calls the workers on the host, and exchanges reports for orders
/// with the leader through any entry that can reach it.
///
/// \code
/// SupervisorActor supervisor = SupervisorActor::start(executor, { name, domain, session, entries, locateLeader });
/// supervisor.handle(heartbeat);
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/supervision/Supervisor.h"
#include "persimmondoor/workflow/Remote.h"

#include <functional>

namespace persimmondoor::supervision {

struct SupervisorOptions {
    std::string name_;
    std::string domain_;
    /// Random number of this incarnation of the process.
    uint64_t session_ { 0 };
    /// Addresses of entries that relay reports to the leader or return its address.
    std::vector<Address> entries_;
    /// Reads the address of the leader from the store, for when no entry answers; returns nothing if the read fails.
    std::function<boost::asio::awaitable<std::optional<Address>>()> locateLeader_;
};

/// A handle: copies refer to the same actor.
class SupervisorActor {
public:
    static SupervisorActor start(const boost::asio::any_io_executor&, SupervisorOptions);

    /// Handles a heartbeat or the notice that a worker leaves. If the mailbox is full, the message is dropped and logged:
    /// heartbeats are repeated, and a worker that has left stops answering.
    void handle(std::variant<workflow::Heartbeat, workflow::Leaving>) const;

    /// Stops the actor. Workers keep their runs for as long as their leases last.
    void stop() const;

private:
    struct State;
    explicit SupervisorActor(std::shared_ptr<State> state)
        : state_(std::move(state))
    {
    }

    std::shared_ptr<State> state_;
};

} // namespace persimmondoor::supervision
