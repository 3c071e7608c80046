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
    // The value of a row; empty if there is none.
    std::string read(const std::string& table, const std::string& key);
    // While the store is down, it answers each call with 503.
    void setDown(bool isDown);

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
    std::atomic<bool> isDown_ { false };
    Server server_;
};

} // namespace persimmondoor::review
