#include "persimmondoor/rpc/Call.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace persimmondoor::rpc {

absl::Status toStatus(const kj::Exception& error)
{
    std::string text(error.getDescription().cStr());
    if (error.getType() == kj::Exception::Type::DISCONNECTED)
        return absl::UnavailableError(text);
    return absl::InternalError(text);
}

static kj::Exception describeFailure(const std::exception_ptr& error)
{
    std::string text = "unknown exception";
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& failure) {
        text = failure.what();
    }
    return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(text.c_str()) };
}

kj::Promise<void> promiseOf(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> body)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    boost::asio::co_spawn(executor, std::move(body), [fulfiller = kj::mv(pair.fulfiller)](const std::exception_ptr& error) mutable {
        if (error)
            fulfiller->reject(describeFailure(error));
        else
            fulfiller->fulfill();
    });
    return kj::mv(pair.promise);
}

namespace {

    // The state of a coroutine that runs on behalf of a promise.
    struct Run {
        boost::asio::cancellation_signal signal_;
        bool hasEnded_ { false };
    };

    // Marks the run as ended, also if the event loop is destroyed before the coroutine has completed.
    class CompletionGuard {
    public:
        explicit CompletionGuard(std::shared_ptr<Run> run)
            : run_(std::move(run))
        {
        }
        CompletionGuard(CompletionGuard&&) = default;
        CompletionGuard& operator=(CompletionGuard&&) = default;
        CompletionGuard(const CompletionGuard&) = delete;
        CompletionGuard& operator=(const CompletionGuard&) = delete;
        ~CompletionGuard()
        {
            if (run_)
                run_->hasEnded_ = true;
        }

    private:
        std::shared_ptr<Run> run_;
    };

} // namespace

kj::Promise<void> cancellablePromiseOf(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> body)
{
    auto run = std::make_shared<Run>();
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto onEnd = [guard = CompletionGuard(run), fulfiller = kj::mv(pair.fulfiller)](const std::exception_ptr& error) mutable {
        if (error)
            fulfiller->reject(describeFailure(error));
        else
            fulfiller->fulfill();
    };
    boost::asio::co_spawn(executor, std::move(body), boost::asio::bind_cancellation_slot(run->signal_.slot(), std::move(onEnd)));
    return pair.promise.attach(kj::defer([run] {
        if (!run->hasEnded_)
            run->signal_.emit(boost::asio::cancellation_type::terminal);
    }));
}

} // namespace persimmondoor::rpc
