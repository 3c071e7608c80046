// A stand-in for the platform's store, with the limits that the platform states.
#pragma once

#include "Http.h"
#include "Record.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace persimmondoor::review {

class Store {
public:
    Store(const std::string& ip, uint16_t port, Record& record);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // Writes a row as the operator does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    // Number of transactions that were refused as a row or a call is too large.
    int64_t tooLarge() const { return tooLarge_; }
    // When a transaction last took effect, on the steady clock.
    int64_t lastCommitMs() const { return lastCommitMs_; }

private:
    struct Row {
        // In base64.
        std::string value_;
        int64_t version_ { 0 };
        bool isDeleted_ { false };
    };
    using Key = std::pair<std::string, std::string>;

    Response serve(const Request&);
    Response commit(const Request&);
    Response get(const Request&);
    Response feed(const Request&);

    Record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    int64_t version_ { 0 };
    bool isStopping_ { false };
    std::atomic<int64_t> tooLarge_ { 0 };
    std::atomic<int64_t> lastCommitMs_ { 0 };
    Server server_;
};

} // namespace persimmondoor::review
