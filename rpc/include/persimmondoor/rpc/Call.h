/// Bridges between promises of Cap'n Proto and coroutines of Asio.
///
/// \code
/// absl::StatusOr<Ack> ack = co_await rpc::call(request.send(), decodeAck, std::chrono::seconds(1));
/// \endcode
#pragma once

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Mailbox.h"

#include <absl/status/statusor.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <kj/async.h>
#include <type_traits>

namespace persimmondoor::rpc {

/// Converts an exception of Cap'n Proto to a status: Unavailable for a lost connection, else Internal.
absl::Status toStatus(const kj::Exception&);

/// Waits for `promise` and maps its result with `decode`. The call is cancelled when the coroutine ends early.
/// \return the mapped result; Unavailable if the connection was lost and the outcome of the call is unknown.
template <typename Response, typename Decode>
auto call(kj::Promise<Response> promise, Decode decode)
    -> boost::asio::awaitable<absl::StatusOr<std::invoke_result_t<Decode, Response&>>>
{
    using Result = absl::StatusOr<std::invoke_result_t<Decode, Response&>>;
    Reply<std::shared_ptr<Result>> reply(co_await boost::asio::this_coro::executor);
    kj::Promise<void> pending = promise.then([reply, decode](Response&& response) { reply.send(std::make_shared<Result>(decode(response))); },
                                           [reply](kj::Exception&& error) { reply.send(std::make_shared<Result>(toStatus(error))); })
                                    .eagerlyEvaluate([reply](kj::Exception&& error) { reply.send(std::make_shared<Result>(toStatus(error))); });
    std::shared_ptr<Result> result = co_await reply.receive();
    co_return std::move(*result);
}

/// As `call`, but cancels the call after `limit` and returns DeadlineExceeded.
template <typename Response, typename Decode>
auto call(kj::Promise<Response> promise, Decode decode, Duration limit)
{
    return withTimeout(call(kj::mv(promise), std::move(decode)), limit);
}

/// Runs `body` on `executor` and returns a promise of its completion, for the methods of a server.
kj::Promise<void> promiseOf(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> body);

/// As `promiseOf`, but `body` is cancelled when the promise is dropped, for example as the caller cancelled the call.
kj::Promise<void> cancellablePromiseOf(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> body);

} // namespace persimmondoor::rpc
