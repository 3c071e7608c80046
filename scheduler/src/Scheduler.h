// The state of an entry's scheduler and the messages that its actor handles.
#pragma once

#include "DecisionWatch.h"
#include "LeaderRow.h"
#include "Operators.h"
#include "QueueRows.h"
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
// A ping was answered, failed or timed out.
struct PingCompleted {
    Address to_;
    absl::StatusOr<workflow::PingAnswer> answer_;
};
// A read of the leader row has ended, with the row or an error.
struct RowReadCompleted {
    absl::StatusOr<store::Row> row_;
};
// A claim has ended. `row_` is the leader row afterwards, or an error if the claim was refused or its outcome is unknown.
struct ClaimCompleted {
    LeaderClaim claim_;
    absl::StatusOr<store::Row> row_;
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

// Outcome of work that has ended by an error, which is logged where the work ends.
inline absl::Status failedWork() { return absl::InternalError("the work ended by an unexpected error"); }

// A transaction of the leader that is in flight or of unknown outcome.
struct PendingCommit {
    uint64_t number_ { 0 };
    workflow::Batch batch_;
    Instant sentAt_;
    // Values that the transaction gives the rows of the lease bounds.
    std::string chain_;
    std::string silentWorkers_;
};

// An agent's report that has not been answered yet, so that new orders can be sent at once.
struct WaitingReport {
    Instant receivedAt_;
    Reply<workflow::ExchangeAnswer> reply_;
};

// This entry does not lead.
struct Following {
    // A read of the leader row, or the claim after it, is in flight.
    bool isRowAccessInFlight_ { false };
};

// This entry has won its claim and reads the rows of the queues.
struct Loading {
    LeaderClaim claim_;
    store::RowVersion leaderRowVersion_;
    Instant claimWonAt_;
};

// This entry leads the queues.
struct Leading {
    LeaderClaim claim_;
    // Every write is conditional on this version.
    store::RowVersion leaderRowVersion_;
    store::RowVersion chainVersion_;
    workflow::LeaderState leaderState_;
    StoreClock storeClock_;
    // Bounds on the leases of silent workers, and the readings of the store's clock that stand for them.
    std::map<workflow::WorkerIncarnation, std::pair<Instant, int64_t>> silentWorkerReadings_;
    // Value of the silent workers' row; empty if it is not known.
    std::optional<std::string> storedSilentWorkers_;
    OperatorView operators_;
    // When the store last confirmed that `operators_` is current.
    Instant operatorsConfirmedAt_;
    std::map<workflow::CallToken, Reply<workflow::ClientAnswer>> calls_;
    workflow::CallToken lastToken_;
    std::map<std::string, std::deque<WaitingReport>> reports_;
    std::optional<PendingCommit> pendingCommit_;
    uint64_t commitCount_ { 0 };
    // When the interference estimates were last checked for a write, and the value last sent to the store.
    Instant estimatesCheckedAt_;
    std::string writtenEstimates_;
    Instant nextCommitAt_;
    Instant lastWriteSentAt_;
    // Bound on the jobs in the next batch; lower after the store has rejected one.
    size_t batchJobs_ { workflow::maximumBatchJobs };
    // Moving average of the duration of commits, and the time-out of the next one.
    Duration averageCommitTime_ { std::chrono::milliseconds(20) };
    Duration commitTimeout_ { std::chrono::milliseconds(200) };
};

// The entry's role in the leadership of the queues.
using Role = std::variant<Following, Loading, Leading>;

// State of the scheduler's actor; used from the actor's thread only.
class Scheduler : public std::enable_shared_from_this<Scheduler> {
public:
    Scheduler(const boost::asio::any_io_executor&, SchedulerOptions);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> tick();
    const Mailbox<SchedulerMessage>& mailbox() const { return mailbox_; }
    const boost::asio::any_io_executor& executor() const { return executor_; }

private:
    friend struct MessageVisitor;

    // Handles the message under the watch. If that fails, the job that it was about is left out of the queues and the process ends.
    void handleWatched(SchedulerMessage&);

    // Messages handled in every role.
    void handle(CallMessage);
    void handle(ExchangeMessage);
    void handle(PingMessage);
    void handle(ReadyMessage);
    void handle(ResignMessage);
    void handle(SchedulerTick);
    boost::asio::awaitable<void> relay(CallMessage);
    boost::asio::awaitable<void> relay(ExchangeMessage);

    // Following.
    void handle(PingCompleted);
    void handle(RowReadCompleted);
    void handle(ClaimCompleted);
    void follow(Following&);
    boost::asio::awaitable<void> ping(Address to);
    // Notifies an entry that this one leads now.
    boost::asio::awaitable<void> announce(Address to);
    boost::asio::awaitable<void> checkRow();
    boost::asio::awaitable<void> claim(LeaderClaim, store::RowVersion);
    void observeRow(const store::Row&);
    workflow::LeaderView view() const;
    std::vector<Address> peers() const;

    // Loading.
    void handle(LoadCompleted);
    boost::asio::awaitable<void> load(workflow::LeaderEpoch);

    // Leading.
    void handle(CommitCompleted);
    void handle(ChainReadCompleted);
    void handle(OperatorsRead);
    void decide(Leading&, const workflow::LeaderMessage&);
    void updateOperators(Leading&, const OperatorView&);
    void answerReports(Leading&, const std::string& agent, bool all);
    void commitIfDue(Leading&);
    store::Transaction transactionOf(const Leading&, const PendingCommit&) const;
    // The value of the silent workers' row for the batch.
    static std::string encodeSilentWorkersOf(Leading&, const workflow::Batch&);
    void writeEstimates(Leading&, store::Transaction&) const;
    boost::asio::awaitable<void> commit(workflow::LeaderEpoch, store::Transaction, Duration limit);
    boost::asio::awaitable<void> readChain(workflow::LeaderEpoch, Duration after);
    boost::asio::awaitable<void> rereadOperators(workflow::LeaderEpoch);
    void finishCommit(Leading&, store::RowVersion);
    void retryCommit(Leading&, Duration after, bool mayBeStored);
    // Sends a rejected batch in smaller parts. A job whose rows are rejected alone is answered as invalid if it is new, and else left
    // out of the queues, as no later write would succeed with it.
    void handleRejection(Leading&, const std::string& detail);
    void stepDown(std::string_view reason);
    // The role if this entry leads under that epoch, or null.
    Leading* findLeading(workflow::LeaderEpoch);

    // Runs work that owes the actor an outcome; `failure` is posted after `delay` if an error ends the work.
    void spawnWork(std::string name, boost::asio::awaitable<void> body, SchedulerMessage failure, Duration delay = Duration(0));
    boost::asio::awaitable<void> postAfter(Duration delay, SchedulerMessage);

    rpc::Link linkTo(const Address&);
    Instant time() const { return now(clock_); }

    boost::asio::any_io_executor executor_;
    SchedulerOptions options_;
    Clock clock_ { SteadyClock() };
    Mailbox<SchedulerMessage> mailbox_;
    DecisionWatch watch_;
    platform::RowStore rows_;
    LeadershipState leadership_;
    Role role_;
    bool hasResigned_ { false };
    std::map<Address, Instant> peers_;
    std::map<Address, rpc::Link> links_;
    // Number of calls that were sent through other entries.
    size_t relayCount_ { 0 };
};

struct SchedulerActor::State {
    std::shared_ptr<Scheduler> scheduler_;
};

} // namespace persimmondoor::scheduler
