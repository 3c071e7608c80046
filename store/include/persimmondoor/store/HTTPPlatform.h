/// Clients of the platform's table service, object store and worker interface over HTTP and JSON. Each is a handle:
/// copies share the connections.
///
/// \code
/// HTTPPool pool = HTTPPool::create(executor, site.platform_);
/// TableClient table = HTTPTable(pool);
/// \endcode
#pragma once

#include "persimmondoor/http/Pool.h"
#include "persimmondoor/store/MemoryObjects.h"
#include "persimmondoor/store/Table.h"
#include "persimmondoor/store/Worker.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>

namespace persimmondoor::store {

/// Time-out of a call, in addition to the time that the call itself asks the platform to wait.
inline constexpr Duration platformTimeout = std::chrono::seconds(2);
using HTTPPool = http::Pool;

class HTTPTable {
public:
    explicit HTTPTable(HTTPPool pool)
        : pool_(std::move(pool))
    {
    }

    boost::asio::awaitable<CommitOutcome> commit(Transaction) const;
    boost::asio::awaitable<absl::StatusOr<std::vector<Row>>> read(std::vector<std::string> keys) const;
    boost::asio::awaitable<absl::StatusOr<std::vector<Row>>> scan(Scan) const;
    bool operator==(const HTTPTable&) const = default;

private:
    HTTPPool pool_;
};

class HTTPObjects {
public:
    explicit HTTPObjects(HTTPPool pool)
        : pool_(std::move(pool))
    {
    }

    boost::asio::awaitable<absl::Status> put(std::string key, std::string bytes) const;
    boost::asio::awaitable<absl::StatusOr<std::string>> get(std::string key) const;
    boost::asio::awaitable<absl::Status> remove(std::string key) const;
    boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>> list(ObjectList) const;
    bool operator==(const HTTPObjects&) const = default;

private:
    HTTPPool pool_;
};

class HTTPWorkers {
public:
    explicit HTTPWorkers(HTTPPool pool)
        : pool_(std::move(pool))
    {
    }

    boost::asio::awaitable<LaunchOutcome> launch(WorkerName, Launch) const;
    boost::asio::awaitable<absl::Status> extend(WorkerName, std::vector<TaskAttempt>, Duration lease) const;
    boost::asio::awaitable<absl::Status> stop(WorkerName, TaskAttempt) const;
    boost::asio::awaitable<absl::StatusOr<std::string>> checkpoint(WorkerName, TaskAttempt) const;
    boost::asio::awaitable<absl::Status> throttle(WorkerName, TaskAttempt, double share) const;
    boost::asio::awaitable<absl::Status> forget(WorkerName, std::vector<TaskAttempt>) const;
    boost::asio::awaitable<absl::StatusOr<WorkerReport>> report(WorkerName, ReportQuery) const;
    boost::asio::awaitable<absl::StatusOr<WorkerUsage>> usage(WorkerName) const;
    bool operator==(const HTTPWorkers&) const = default;

private:
    HTTPPool pool_;
};

} // namespace persimmondoor::store
