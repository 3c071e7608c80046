#include "Codec.h"
#include "persimmondoor/admission/Client.h"
#include "persimmondoor/admission/GateActor.h"
#include "persimmondoor/rpc/Call.h"

namespace persimmondoor::admission {

namespace asio = boost::asio;

// Wait beyond the caller's deadline, so that the agent's own answer on the passed deadline can still arrive.
static constexpr Duration answerGrace = std::chrono::milliseconds(50);

namespace {

    class AdmissionServer final : public wire::Admission::Server {
    public:
        AdmissionServer(asio::any_io_executor executor, GateActor gate)
            : executor_(std::move(executor))
            , gate_(std::move(gate))
        {
        }

        kj::Promise<void> serve(ServeContext context) override
        {
            auto request = decode(context.getParams().getRequest());
            context.releaseParams();
            if (!request.ok()) {
                encode({ NotRun { NotRunReason::BadRequest, std::string(request.status().message()) }, {} }, context.getResults().initAnswer());
                return kj::READY_NOW;
            }
            // A cancelled call removes its request from the queue.
            context.allowCancellation();
            return rpc::cancellablePromiseOf(executor_, run(gate_, *std::move(request), context));
        }

    private:
        static asio::awaitable<void> run(GateActor gate, ServiceRequest request, ServeContext context)
        {
            ServiceAnswer answer = co_await gate.serve(std::move(request));
            // The context must not be used after the call was cancelled.
            asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
            if (state.cancelled() != asio::cancellation_type::none)
                co_return;
            encode(answer, context.getResults().initAnswer());
        }

        asio::any_io_executor executor_;
        GateActor gate_;
    };

} // namespace

void offerAdmission(rpc::Interfaces& interfaces, const asio::any_io_executor& executor, GateActor gate)
{
    interfaces.add("admission", kj::heap<AdmissionServer>(executor, std::move(gate)));
}

asio::awaitable<ServiceAnswer> serveAt(rpc::Link link, ServiceRequest request)
{
    auto found = co_await link.find("admission");
    if (!found.ok())
        co_return ServiceAnswer { NotRun { NotRunReason::Unreachable, std::string(found.status().message()) }, {} };
    auto call = found->castAs<wire::Admission>().serveRequest();
    encode(request, call.initRequest());
    auto answer = co_await rpc::call(
        call.send(), [](auto& response) { return decode(response.getAnswer()); }, request.timeLeft_ + answerGrace);
    if (!answer.ok())
        co_return ServiceAnswer { Unknown { std::string(answer.status().message()) }, {} };
    co_return *std::move(answer);
}

} // namespace persimmondoor::admission
