/// An in-memory stand-in of the object store, with fault injection. A handle: copies share the objects.
///
/// \code
/// MemoryObjects objects = MemoryObjects::create();
/// objects.inject(ObjectFaults { .down_ = true });
/// \endcode
#pragma once

#include "persimmondoor/store/Faults.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmondoor::store {

/// Query for keys: at most `limit_` keys that start with `prefix_` and sort after `after_`, in key order.
struct ObjectList {
    std::string prefix_;
    std::string after_;
    size_t limit_ { 1000 };
    auto operator<=>(const ObjectList&) const = default;
};

class MemoryObjects {
public:
    static MemoryObjects create();

    boost::asio::awaitable<absl::Status> put(std::string key, std::string bytes) const;
    boost::asio::awaitable<absl::StatusOr<std::string>> get(std::string key) const;
    boost::asio::awaitable<absl::Status> remove(std::string key) const;
    boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>> list(ObjectList) const;

    void inject(const ObjectFaults& faults) const { shared_->faults_ = faults; }
    const ObjectFaults& faults() const { return shared_->faults_; }
    /// Direct access to the objects, for tests; no fault applies.
    std::map<std::string, std::string>& objects() const { return shared_->objects_; }
    bool operator==(const MemoryObjects&) const = default;

private:
    struct Shared {
        std::map<std::string, std::string> objects_;
        ObjectFaults faults_;
    };

    explicit MemoryObjects(std::shared_ptr<Shared> shared)
        : shared_(std::move(shared))
    {
    }

    static boost::asio::awaitable<absl::Status> waitForService(std::shared_ptr<Shared>);
    static absl::Status afterWrite(Shared&);

    std::shared_ptr<Shared> shared_;
};

} // namespace persimmondoor::store
