/// The scheduler of an entry. One entry owns the queues at a time; the others pass on what they are asked and take over
/// when the owner is gone. All that must last is in the platform's store.
///
/// \code
/// SchedulerActor scheduler = SchedulerActor::start(executor, options);
/// workflow::ClientAnswer answer = co_await scheduler.call(call);
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
    /// Where this entry's scheduler listens for others.
    Address self_;
    /// Other entries, as far as known at the start; more are learnt.
    std::vector<Address> peers_;
    std::vector<std::string> domains_;
    workflow::Tuning tuning_;
    Address store_;
    /// Processors that this entry has.
    double processors_ { 1 };
};

/// A handle: copies refer to the same actor.
class SchedulerActor {
public:
    static SchedulerActor start(const boost::asio::any_io_executor&, SchedulerOptions);

    /// Serves a client's call, here or at the owner. One attempt: NotLeader says that nothing was done.
    /// \param viaPeers whether another entry may pass it on if the owner cannot be reached.
    boost::asio::awaitable<workflow::ClientAnswer> call(workflow::ClientCall, bool viaPeers) const;

    /// Serves an agent's report, here or at the owner.
    boost::asio::awaitable<workflow::ExchangeAnswer> exchange(workflow::AgentReport) const;

    /// Answers another entry.
    boost::asio::awaitable<workflow::PingAnswer> ping(Address from, workflow::LeaderView) const;

    /// True if the owner is known and has been heard of lately.
    boost::asio::awaitable<bool> isReady() const;

    /// Gives the queues up, if this entry owns them, so that another takes over at once. It claims no more.
    boost::asio::awaitable<void> resign() const;

    void stop() const;

private:
    struct State;
    explicit SchedulerActor(std::shared_ptr<State> state)
        : state_(std::move(state))
    {
    }

    std::shared_ptr<State> state_;
};

/// Where the leader's row says that the owner is.
/// \return the address, or nothing if there is none or the store cannot be read.
boost::asio::awaitable<std::optional<Address>> locateLeader(platform::RowStore);

} // namespace persimmondoor::scheduler
