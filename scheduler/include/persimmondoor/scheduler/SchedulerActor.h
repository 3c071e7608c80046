/// The scheduler of an entry. One entry leads the queues at a time; the others relay calls and reports to the leader and
/// take over when the leader fails. All durable state is in the platform's store.
///
/// \code
/// SchedulerActor scheduler = SchedulerActor::start(executor, options);
/// workflow::ClientAnswer answer = co_await scheduler.call(call, true);
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/platform/RowStore.h"
#include "persimmondoor/workflow/Leader.h"
#include "persimmondoor/workflow/Remote.h"

#include <vector>

namespace persimmondoor::scheduler {

struct SchedulerOptions {
    std::string name_;
    /// Where this entry's scheduler listens for other entries and agents.
    Address self_;
    /// Other entries known at the start; further ones are discovered through pings.
    std::vector<Address> peers_;
    /// Failure domains of the deployment. A write that stores a job or starts a task fails if the evacuation of one of them
    /// has changed.
    std::vector<std::string> domains_;
    workflow::Tuning tuning_;
    /// Address of the platform's store.
    Address store_;
    /// Processors available to this entry.
    double processors_ { 1 };
};

/// A handle: copies refer to the same actor.
class SchedulerActor {
public:
    static SchedulerActor start(const boost::asio::any_io_executor&, SchedulerOptions);

    /// Serves a client's call here or at the leader, in one attempt.
    /// \param viaPeers whether another entry may relay the call if this one cannot reach the leader.
    /// \return the leader's answer; NotLeader if the call cannot have taken effect; OutcomeUnknown if it may have;
    ///     NotAccepted if the mailbox is full or the actor has been stopped.
    boost::asio::awaitable<workflow::ClientAnswer> call(workflow::ClientCall, bool viaPeers) const;

    /// Serves an agent's report here or at the leader.
    /// \return the leader's reply, if the leader was reached, and what this entry or the leader knows of the leadership.
    boost::asio::awaitable<workflow::ExchangeAnswer> exchange(workflow::AgentReport) const;

    /// Handles the ping of another entry: observes its view of the leadership and returns this entry's view and peers.
    boost::asio::awaitable<workflow::PingAnswer> ping(Address from, workflow::LeaderView) const;

    /// True if this entry leads and has a configuration, or follows a leader with which it has recent contact. False after
    /// `resign`.
    boost::asio::awaitable<bool> isReady() const;

    /// Releases the leadership, if this entry holds it, so that another entry takes over without waiting for a time-out.
    /// This entry does not claim again.
    boost::asio::awaitable<void> resign() const;

    /// Stops the actor without releasing the leadership. Later calls are refused.
    void stop() const;

private:
    struct State;
    explicit SchedulerActor(std::shared_ptr<State> state)
        : state_(std::move(state))
    {
    }

    std::shared_ptr<State> state_;
};

/// Reads the leader's address from the leader row.
/// \return the address; nothing if no entry leads or the row cannot be read.
boost::asio::awaitable<std::optional<Address>> locateLeader(platform::RowStore);

} // namespace persimmondoor::scheduler
