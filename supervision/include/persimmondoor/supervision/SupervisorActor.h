/// Runs the agent's decisions: takes heartbeats, calls the workers, and exchanges reports for orders with the owner of
/// the queues, through any entry that can reach it.
///
/// \code
/// SupervisorActor supervisor = SupervisorActor::start(executor, { name, domain, session, entries, locate });
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
    /// Drawn anew in each life of the process.
    uint64_t session_ { 0 };
    /// Where entries may be asked for the owner.
    std::vector<Address> entries_;
    /// Reads where the owner is from the store, for when no entry answers; nothing if that fails.
    std::function<boost::asio::awaitable<std::optional<Address>>()> locateLeader_;
};

/// A handle: copies refer to the same actor.
class SupervisorActor {
public:
    static SupervisorActor start(const boost::asio::any_io_executor&, SupervisorOptions);

    /// Takes in a heartbeat or a leave. Dropped with a log line if the mailbox is full: the worker repeats itself.
    void handle(std::variant<workflow::Heartbeat, workflow::Leaving>) const;

    /// Ends the actor; workers keep what runs under their leases.
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
