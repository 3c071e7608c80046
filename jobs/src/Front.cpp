#include "persimmondoor/jobs/Front.h"

#include "Codec.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/rpc/Call.h"

namespace persimmondoor::jobs {

namespace asio = boost::asio;

// While a partition has no reachable owner, its owner is looked up this many times at this interval.
static constexpr Duration ownerLookupInterval = std::chrono::milliseconds(300);
static constexpr int ownerLookups = 10;
// Added to the owner's own time-out, so that its answer can still arrive.
static constexpr Duration answerGrace = std::chrono::seconds(1);
// Number of partitions that the jobs of one team are spread over.
static constexpr uint32_t partitionsPerTeam = 1;

struct JobsFront::State {
    asio::any_io_executor executor_;
    store::TableClient table_;
    JobsActor jobs_;
    uint32_t partitionCount_ { 0 };
    std::set<FailureDomainName> domains_;
    std::map<Address, rpc::Link> links_;
};

JobsFront::JobsFront(asio::any_io_executor executor, store::TableClient table, JobsActor jobs, uint32_t partitionCount, std::set<FailureDomainName> domains)
    : state_(std::make_shared<State>(State { std::move(executor), std::move(table), std::move(jobs), partitionCount, std::move(domains), {} }))
{
}

PartitionNumber JobsFront::partitionOf(const TeamName& team, const JobId& job) const
{
    return jobs::partitionOf(team, job, state_->partitionCount_, partitionsPerTeam);
}

uint32_t JobsFront::partitionCount() const
{
    return state_->partitionCount_;
}

store::TableClient JobsFront::table() const
{
    return state_->table_;
}

const std::set<FailureDomainName>& JobsFront::domains() const
{
    return state_->domains_;
}

static asio::awaitable<JobsAnswer> askAt(rpc::Link link, PartitionNumber partition, JobsRequest request)
{
    auto found = co_await link.find("jobs");
    // The request was not sent, so it may be sent to another process.
    if (!found.ok())
        co_return NotOwner {};
    auto call = found->castAs<wire::Jobs>().askRequest();
    call.setPartition(partition.value());
    encode(request, call.initRequest());
    auto answer = co_await rpc::call(
        call.send(), [](auto& response) { return decode(response.getAnswer()); }, requestTimeout + answerGrace);
    co_return answer.ok() ? *std::move(answer) : JobsAnswer(OutcomeUnknown {});
}

asio::awaitable<JobsAnswer> JobsFront::ask(PartitionNumber partition, JobsRequest request) const
{
    std::shared_ptr<State> state = state_;
    std::string reason = "the partition has no owner at present";
    for (int attempt = 0; attempt < ownerLookups; ++attempt) {
        JobsRequest localRequest = request;
        JobsAnswer localAnswer = co_await state->jobs_.ask(partition, std::move(localRequest));
        if (!std::holds_alternative<NotOwner>(localAnswer))
            co_return localAnswer;
        std::vector<std::string> keys { leases::partitionKey(partition) };
        auto rows = co_await store::read(state->table_, std::move(keys));
        if (!rows.ok())
            co_return NotAccepted { concat("cannot read the row of the partition's owner: ", std::string(rows.status().message())) };
        auto row = leases::decodePartitionRow(rows->front().value_);
        if (rows->front().version_ != store::RowVersion() && row.ok() && !row->owner_.empty()) {
            rpc::Link link = state->links_.try_emplace(row->address_, state->executor_, row->address_).first->second;
            JobsRequest remoteRequest = request;
            JobsAnswer remoteAnswer = co_await askAt(link, partition, std::move(remoteRequest));
            if (!std::holds_alternative<NotOwner>(remoteAnswer))
                co_return remoteAnswer;
        }
        co_await sleepFor(ownerLookupInterval);
    }
    co_return NotAccepted { std::move(reason) };
}

namespace {

    class JobsServer final : public wire::Jobs::Server {
    public:
        JobsServer(asio::any_io_executor executor, JobsActor jobs)
            : executor_(std::move(executor))
            , jobs_(std::move(jobs))
        {
        }

        kj::Promise<void> ask(AskContext context) override
        {
            PartitionNumber partition(context.getParams().getPartition());
            auto request = decode(context.getParams().getRequest());
            context.releaseParams();
            if (!request.ok()) {
                encode(JobsAnswer(NotAccepted { std::string(request.status().message()) }), context.getResults().initAnswer());
                return kj::READY_NOW;
            }
            return rpc::promiseOf(executor_, run(jobs_, partition, *std::move(request), context));
        }

    private:
        static asio::awaitable<void> run(JobsActor jobs, PartitionNumber partition, JobsRequest request, AskContext context)
        {
            JobsAnswer answer = co_await jobs.ask(partition, std::move(request));
            encode(answer, context.getResults().initAnswer());
        }

        asio::any_io_executor executor_;
        JobsActor jobs_;
    };

} // namespace

void offerJobs(rpc::Interfaces& interfaces, const asio::any_io_executor& executor, JobsActor jobs)
{
    interfaces.add("jobs", kj::heap<JobsServer>(executor, std::move(jobs)));
}

} // namespace persimmondoor::jobs
