#include "persimmondoor/workflow/Remote.h"

#include "ExchangeCodec.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/Call.h"

namespace persimmondoor::workflow {

namespace asio = boost::asio;

namespace {

    // Name of the scheduler among the interfaces of a connection.
    constexpr const char* interfaceName = "scheduler";

    kj::Exception badMessage(const absl::Status& status)
    {
        logWarning("rpc.malformed", { { "interface", interfaceName }, { "reason", std::string(status.message()) } });
        return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(std::string(status.message()).c_str()) };
    }

    class SchedulerServer final : public wire::Scheduler::Server {
    public:
        SchedulerServer(asio::any_io_executor executor, SchedulerHandlers handlers)
            : executor_(std::move(executor))
            , handlers_(std::make_shared<SchedulerHandlers>(std::move(handlers)))
        {
        }

        kj::Promise<void> call(CallContext context) override
        {
            auto call = decode(context.getParams().getCall());
            context.releaseParams();
            if (!call.ok())
                return badMessage(call.status());
            context.allowCancellation();
            return rpc::cancellablePromiseOf(executor_, runCall(handlers_, *std::move(call), context));
        }

        kj::Promise<void> exchange(ExchangeContext context) override
        {
            auto report = decode(context.getParams().getReport());
            context.releaseParams();
            if (!report.ok())
                return badMessage(report.status());
            context.allowCancellation();
            return rpc::cancellablePromiseOf(executor_, runExchange(handlers_, *std::move(report), context));
        }

        kj::Promise<void> ping(PingContext context) override
        {
            auto leader = decode(context.getParams().getLeader());
            auto from = Address::parse(context.getParams().getFromAddress().cStr());
            if (!leader.ok() || !from.ok())
                return badMessage(leader.ok() ? from.status() : leader.status());
            context.releaseParams();
            context.allowCancellation();
            return rpc::cancellablePromiseOf(executor_, runPing(handlers_, *std::move(from), *std::move(leader), context));
        }

    private:
        static asio::awaitable<bool> isDropped()
        {
            // The context of a call must not be used once the call has been dropped.
            asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
            co_return state.cancelled() != asio::cancellation_type::none;
        }

        static asio::awaitable<void> runCall(std::shared_ptr<SchedulerHandlers> handlers, ClientCall call, CallContext context)
        {
            ClientAnswer answer = co_await handlers->call_(std::move(call));
            if (!co_await isDropped())
                encode(answer, context.getResults().initAnswer());
        }

        static asio::awaitable<void> runExchange(std::shared_ptr<SchedulerHandlers> handlers, AgentReport report, ExchangeContext context)
        {
            ExchangeAnswer answer = co_await handlers->exchange_(std::move(report));
            if (co_await isDropped())
                co_return;
            auto results = context.getResults();
            results.setIsOwner(answer.reply_.has_value());
            if (answer.reply_)
                encode(*answer.reply_, results.initDirective());
            encode(answer.leader_, results.initLeader());
        }

        static asio::awaitable<void> runPing(std::shared_ptr<SchedulerHandlers> handlers, Address from, LeaderView leader, PingContext context)
        {
            PingAnswer answer = co_await handlers->ping_(std::move(from), std::move(leader));
            if (co_await isDropped())
                co_return;
            auto results = context.getResults();
            encode(answer.leader_, results.initLeader());
            auto peers = results.initPeers(static_cast<unsigned>(answer.peers_.size()));
            for (unsigned index = 0; index < peers.size(); ++index)
                peers.set(index, answer.peers_[index].text().c_str());
        }

        asio::any_io_executor executor_;
        std::shared_ptr<SchedulerHandlers> handlers_;
    };

} // namespace

void offerScheduler(rpc::Interfaces& interfaces, const asio::any_io_executor& executor, SchedulerHandlers handlers)
{
    interfaces.add(interfaceName, kj::heap<SchedulerServer>(executor, std::move(handlers)));
}

// Merges the status of a call with the status of decoding its answer.
template <typename T>
static absl::StatusOr<T> flatten(absl::StatusOr<absl::StatusOr<T>> answer)
{
    if (!answer.ok())
        return answer.status();
    return *std::move(answer);
}

// Once the call has been sent, a lost connection leaves its outcome unknown; Unavailable would say that nothing was sent.
static absl::Status afterSending(const absl::Status& status)
{
    return status.code() == absl::StatusCode::kUnavailable ? absl::UnknownError(status.message()) : status;
}

asio::awaitable<absl::StatusOr<ClientAnswer>> callAt(rpc::Link link, ClientCall call, Duration limit)
{
    auto found = co_await link.find(interfaceName);
    if (!found.ok())
        co_return absl::UnavailableError(found.status().message());
    auto request = found->castAs<wire::Scheduler>().callRequest();
    encode(call, request.initCall());
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decode(response.getAnswer()); }, limit);
    absl::StatusOr<ClientAnswer> result = flatten<ClientAnswer>(std::move(answer));
    if (!result.ok())
        co_return afterSending(result.status());
    co_return result;
}

static absl::StatusOr<ExchangeAnswer> decodeExchange(wire::Scheduler::ExchangeResults::Reader response)
{
    ExchangeAnswer answer;
    auto leader = decode(response.getLeader());
    if (!leader.ok())
        return leader.status();
    answer.leader_ = *std::move(leader);
    if (!response.getIsOwner())
        return answer;
    auto reply = decode(response.getDirective());
    if (!reply.ok())
        return reply.status();
    answer.reply_ = *std::move(reply);
    return answer;
}

asio::awaitable<absl::StatusOr<ExchangeAnswer>> exchangeAt(rpc::Link link, AgentReport report, Duration limit)
{
    auto found = co_await link.find(interfaceName);
    if (!found.ok())
        co_return found.status();
    auto request = found->castAs<wire::Scheduler>().exchangeRequest();
    encode(report, request.initReport());
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decodeExchange(response); }, limit);
    co_return flatten<ExchangeAnswer>(std::move(answer));
}

static absl::StatusOr<PingAnswer> decodePing(wire::Scheduler::PingResults::Reader response)
{
    PingAnswer answer;
    auto leader = decode(response.getLeader());
    if (!leader.ok())
        return leader.status();
    answer.leader_ = *std::move(leader);
    for (auto text : response.getPeers()) {
        auto peer = Address::parse(text.cStr());
        if (!peer.ok())
            return peer.status();
        answer.peers_.push_back(*std::move(peer));
    }
    return answer;
}

asio::awaitable<absl::StatusOr<PingAnswer>> pingAt(rpc::Link link, Address self, LeaderView leader, Duration limit)
{
    auto found = co_await link.find(interfaceName);
    if (!found.ok())
        co_return found.status();
    auto request = found->castAs<wire::Scheduler>().pingRequest();
    request.setFromAddress(self.text().c_str());
    encode(leader, request.initLeader());
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decodePing(response); }, limit);
    co_return flatten<PingAnswer>(std::move(answer));
}

} // namespace persimmondoor::workflow
