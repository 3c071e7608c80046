#include "persimmondoor/rpc/Call.h"

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

} // namespace persimmondoor::rpc
