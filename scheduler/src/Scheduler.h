// The state of an entry's scheduler and the messages of its actor.
#pragma once

#include "LeaderRow.h"
#include "Operators.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/scheduler/Leadership.h"
#include "persimmondoor/scheduler/SchedulerActor.h"

#include <deque>
#include <map>
#include <variant>

namespace persimmondoor::scheduler {

struct CallMessage {
    workflow::ClientCall call_;
    bool viaPeers_ { false };
    Reply<workflow::ClientAnswer> reply_;
};
struct ExchangeMessage {
    workflow::AgentReport report_;
    Reply<workflow::ExchangeAnswer> reply_;
};
struct PingMessage {
    Address from_;
    workflow::LeaderView view_;
    Reply<workflow::PingAnswer> reply_;
};
struct ReadyMessage {
    Reply<bool> reply_;
};
struct ResignMessage {
    Reply<bool> reply_;
};
// A ping has been answered, or not.
struct PingCompleted {
    Address to_;
    absl::StatusOr<workflow::PingAnswer> answer_;
};
// The leader's row has been read, or not.
struct RowReadCompleted {
    absl::StatusOr<store::Row> row_;
};
// A claim was sent for the version that the row had; this is what the row holds now.
struct ClaimCompleted {
    LeaderClaim claim_;
    absl::StatusOr<store::Row> row_;
};
struct LoadedRows {
    std::vector<workflow::StoredJob> jobs_;
    store::RowVersion chain_;
    OperatorView operators_;
    workflow::Interference interference_;
};
struct LoadCompleted {
    workflow::LeaderEpoch epoch_;
    absl::StatusOr<LoadedRows> rows_;
};
struct CommitCompleted {
    workflow::LeaderEpoch epoch_;
    Instant sentAt_;
    store::CommitOutcome outcome_;
};
struct ChainReadCompleted {
    workflow::LeaderEpoch epoch_;
    absl::StatusOr<store::Row> row_;
};
struct OperatorsRead {
    workflow::LeaderEpoch epoch_;
    OperatorView view_;
};
struct SchedulerTick { };

using SchedulerMessage = std::variant<CallMessage, ExchangeMessage, PingMessage, ReadyMessage, ResignMessage, PingCompleted, RowReadCompleted, ClaimCompleted, LoadCompleted, CommitCompleted, ChainReadCompleted, OperatorsRead, SchedulerTick>;

// A transaction of the owner that is under way.
struct PendingCommit {
    uint64_t number_ { 0 };
    workflow::Batch batch_;
    Instant sentAt_;
};

// An agent's report that waits for orders.
struct WaitingReport {
    Instant since_;
    Reply<workflow::ExchangeAnswer> reply_;
};

// This entry does not lead; perhaps it is about to.
struct Following {
    bool isClaiming_ { false };
};

// The claim is won; the rows are being read.
struct Loading {
    LeaderClaim claim_;
    store::RowVersion version_;
    Instant since_;
};

// This entry owns the queues.
struct Leading {
    LeaderClaim claim_;
    // Version of the leader's row; every write is conditional on it.
    store::RowVersion version_;
    store::RowVersion chain_;
    workflow::LeaderState leaderState_;
    OperatorView operators_;
    // When the operators' documents were last known to be those in force.
    Instant operatorsAt_;
    std::map<workflow::CallToken, Reply<workflow::ClientAnswer>> calls_;
    workflow::CallToken lastToken_;
    std::map<std::string, std::deque<WaitingReport>> reports_;
    std::optional<PendingCommit> commit_;
    uint64_t commits_ { 0 };
    // When what has been learnt was last written, and its row.
    Instant estimatesWrittenAt_;
    std::string writtenEstimates_;
    Instant commitAgainAt_;
    Instant writtenAt_;
    // Smoothed time of a commit, and the limit for the next.
    Duration commitTime_ { std::chrono::milliseconds(20) };
    Duration commitLimit_ { std::chrono::milliseconds(200) };
};

// What the entry is to the queues.
using Role = std::variant<Following, Loading, Leading>;

// Owned by the scheduler's actor and used from its thread only.
class Scheduler : public std::enable_shared_from_this<Scheduler> {
public:
    Scheduler(const boost::asio::any_io_executor&, SchedulerOptions);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> tick();
    const Mailbox<SchedulerMessage>& mailbox() const { return mailbox_; }
    const boost::asio::any_io_executor& executor() const { return executor_; }

private:
    friend struct MessageVisitor;

    // Anyone's calls, whatever the role.
    void handle(CallMessage);
    void handle(ExchangeMessage);
    void handle(PingMessage);
    void handle(ReadyMessage);
    void handle(ResignMessage);
    void handle(SchedulerTick);
    boost::asio::awaitable<void> passOn(CallMessage);
    boost::asio::awaitable<void> passOn(ExchangeMessage);

    // Following.
    void handle(PingCompleted);
    void handle(RowReadCompleted);
    void handle(ClaimCompleted);
    void follow(Following&);
    boost::asio::awaitable<void> ping(Address to);
    // Tells an entry that this one leads now.
    boost::asio::awaitable<void> announce(Address to);
    boost::asio::awaitable<void> checkRow();
    boost::asio::awaitable<void> claim(LeaderClaim, store::RowVersion);
    void observeRow(const store::Row&);
    workflow::LeaderView view() const;
    std::vector<Address> peers() const;

    // Loading.
    void handle(LoadCompleted);
    boost::asio::awaitable<void> load(workflow::LeaderEpoch);

    // Owning.
    void handle(CommitCompleted);
    void handle(ChainReadCompleted);
    void handle(OperatorsRead);
    void decide(Leading&, const workflow::LeaderMessage&);
    void updateOperators(Leading&, const OperatorView&);
    void answerReports(Leading&, const std::string& agent, bool all);
    void commitIfDue(Leading&);
    store::Transaction transactionOf(const Leading&, const workflow::Batch&, uint64_t number) const;
    void writeEstimates(Leading&, store::Transaction&) const;
    boost::asio::awaitable<void> commit(workflow::LeaderEpoch, store::Transaction, Duration limit);
    boost::asio::awaitable<void> readChain(workflow::LeaderEpoch, Duration after);
    boost::asio::awaitable<void> rereadOperators(workflow::LeaderEpoch);
    void finishCommit(Leading&, store::RowVersion, Instant sentAt);
    void retryCommit(Leading&, Duration after, bool mayBeStored);
    void stepDown(std::string_view why);
    // The role if this entry owns the queues under that epoch, or null.
    Leading* leading(workflow::LeaderEpoch);

    rpc::Link linkTo(const Address&);
    Instant time() const { return now(clock_); }

    boost::asio::any_io_executor executor_;
    SchedulerOptions options_;
    Clock clock_ { SteadyClock() };
    Mailbox<SchedulerMessage> mailbox_;
    platform::RowStore rows_;
    LeadershipState leadership_;
    Role role_;
    bool resigned_ { false };
    std::map<Address, Instant> peers_;
    std::map<Address, rpc::Link> links_;
};

struct SchedulerActor::State {
    std::shared_ptr<Scheduler> scheduler_;
};

} // namespace persimmondoor::scheduler
