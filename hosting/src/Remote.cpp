#include "Codec.h"
#include "persimmondoor/hosting/Client.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/rpc/Call.h"

namespace persimmondoor::hosting {

namespace asio = boost::asio;

static kj::Exception toException(const absl::Status& status)
{
    return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(std::string(status.message()).c_str()) };
}

namespace {

    class HostingServer final : public wire::Hosting::Server {
    public:
        HostingServer(asio::any_io_executor executor, HostActor host)
            : executor_(std::move(executor))
            , host_(std::move(host))
        {
        }

        kj::Promise<void> probe(ProbeContext context) override
        {
            auto order = decode(context.getParams().getProbe());
            if (!order.ok())
                return toException(order.status());
            return rpc::promiseOf(executor_, runProbe(host_, *std::move(order), context));
        }

        kj::Promise<void> start(StartContext context) override
        {
            auto order = decode(context.getParams().getStart());
            context.releaseParams();
            if (!order.ok())
                return toException(order.status());
            return rpc::promiseOf(executor_, runStart(host_, *std::move(order), context));
        }

        kj::Promise<void> stop(StopContext context) override
        {
            auto order = decode(context.getParams().getStop());
            if (!order.ok())
                return toException(order.status());
            return rpc::promiseOf(executor_, runStop(host_, *std::move(order), context));
        }

        kj::Promise<void> renew(RenewContext context) override
        {
            auto renewal = decode(context.getParams().getRenewal());
            context.releaseParams();
            if (!renewal.ok())
                return toException(renewal.status());
            return rpc::promiseOf(executor_, runRenewal(host_, *std::move(renewal), context));
        }

    private:
        static asio::awaitable<void> runProbe(HostActor host, ProbeOrder order, ProbeContext context)
        {
            auto offer = co_await host.probe(std::move(order));
            throwIfFailed(offer.status());
            encode(*offer, context.getResults().initOffer());
        }

        static asio::awaitable<void> runStart(HostActor host, StartOrder order, StartContext context)
        {
            auto outcome = co_await host.start(std::move(order));
            throwIfFailed(outcome.status());
            encode(*outcome, context.getResults().initAnswer());
        }

        static asio::awaitable<void> runStop(HostActor host, StopOrder order, StopContext context)
        {
            auto outcome = co_await host.stop(std::move(order));
            throwIfFailed(outcome.status());
            context.getResults().setAnswer(encode(*outcome));
        }

        static asio::awaitable<void> runRenewal(HostActor host, Renewal renewal, RenewContext context)
        {
            auto outcome = co_await host.renew(std::move(renewal));
            throwIfFailed(outcome.status());
            encode(*outcome, context.getResults().initAnswer());
        }

        static void throwIfFailed(const absl::Status& status)
        {
            if (!status.ok())
                throw std::runtime_error(std::string(status.message()));
        }

        asio::any_io_executor executor_;
        HostActor host_;
    };

} // namespace

void offerHosting(rpc::Interfaces& interfaces, const asio::any_io_executor& executor, HostActor host)
{
    interfaces.add("hosting", kj::heap<HostingServer>(executor, std::move(host)));
}

// Returns the agent's interface, or Aborted if there is no connection.
static asio::awaitable<absl::StatusOr<wire::Hosting::Client>> findHosting(rpc::Link link)
{
    auto found = co_await link.find("hosting");
    if (!found.ok())
        co_return absl::AbortedError(found.status().message());
    co_return found->castAs<wire::Hosting>();
}

// Merges the status of a call with that of decoding its result.
template <typename T>
static absl::StatusOr<T> flatten(absl::StatusOr<absl::StatusOr<T>> result)
{
    if (!result.ok())
        return result.status();
    return *std::move(result);
}

asio::awaitable<absl::StatusOr<HostOffer>> probeHost(rpc::Link link, ProbeOrder order)
{
    auto host = co_await findHosting(link);
    if (!host.ok())
        co_return host.status();
    auto request = host->probeRequest();
    encode(order, request.initProbe());
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decode(response.getOffer()); }, hostTimeout);
    co_return flatten(std::move(answer));
}

asio::awaitable<absl::StatusOr<StartOutcome>> startTask(rpc::Link link, StartOrder order)
{
    auto host = co_await findHosting(link);
    if (!host.ok())
        co_return host.status();
    auto request = host->startRequest();
    encode(order, request.initStart());
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decode(response.getAnswer()); }, hostTimeout);
    co_return flatten(std::move(answer));
}

asio::awaitable<absl::StatusOr<StopOutcome>> stopTask(rpc::Link link, StopOrder order)
{
    auto host = co_await findHosting(link);
    if (!host.ok())
        co_return host.status();
    auto request = host->stopRequest();
    encode(order, request.initStop());
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decode(response.getAnswer()); }, hostTimeout);
    co_return flatten(std::move(answer));
}

asio::awaitable<absl::StatusOr<RenewalAnswer>> renewTasks(rpc::Link link, Renewal renewal)
{
    auto host = co_await findHosting(link);
    if (!host.ok())
        co_return host.status();
    auto request = host->renewRequest();
    encode(renewal, request.initRenewal());
    auto answer = co_await rpc::call(
        request.send(), [](auto& response) { return decode(response.getAnswer()); }, hostTimeout);
    auto outcome = flatten(std::move(answer));
    if (!outcome.ok())
        co_return outcome.status();
    if (std::holds_alternative<RenewalStaleEpoch>(*outcome))
        co_return absl::FailedPreconditionError("the agent has seen a later epoch of the partition");
    if (std::holds_alternative<RenewalNotReady>(*outcome))
        co_return absl::NotFoundError("the agent has not received its worker's first report");
    co_return std::get<RenewalAnswer>(*std::move(outcome));
}

} // namespace persimmondoor::hosting
