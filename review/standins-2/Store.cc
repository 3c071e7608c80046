// A stand-in for the platform's metadata store: rows, transactions and the feed, as PROTOCOL.md tells them.
#pragma once

#include "Http.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <map>
#include <optional>

namespace review {

namespace json = boost::json;

// Limits of one call (PROTOCOL.md).
inline constexpr size_t maximumEntries = 100;
inline constexpr size_t maximumCallBytes = 1'000'000;
inline constexpr size_t maximumRowBytes = 65'536;
inline constexpr size_t maximumRowsPerPage = 500;

inline std::string encodeBase64(const std::string& text)
{
    std::string encoded(beast::detail::base64::encoded_size(text.size()), '\0');
    encoded.resize(beast::detail::base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

inline size_t decodedSize(const std::string& text)
{
    std::string decoded(beast::detail::base64::decoded_size(text.size()), '\0');
    return beast::detail::base64::decode(decoded.data(), text.data(), text.size()).first;
}

inline std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

inline std::map<std::string, std::string> queryOf(std::string_view target)
{
    std::map<std::string, std::string> query;
    size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        size_t equals = pair.find('=');
        query[percentDecode(pair.substr(0, equals))] = equals == std::string_view::npos ? "" : percentDecode(pair.substr(equals + 1));
    }
    return query;
}

enum class StoreFault {
    None,
    // Every call gets 503.
    Busy,
    // Calls get no answer and nothing is done.
    Silent,
    // Connections are closed without an answer and nothing is done.
    Reset,
};

class Store {
public:
    explicit Store(asio::io_context& context, const std::string& ip)
        : server_(context, ip, 0, [this](const Request& request) { return answer(request); })
    {
    }

    const Endpoint& address() const { return server_.address(); }
    void setFault(StoreFault fault) { fault_ = fault; }
    uint64_t transactions() const { return transactions_; }
    // Transactions that were refused, as they were larger than a call or a row may be.
    uint64_t oversized() const { return oversized_; }
    size_t largestCall() const { return largestCall_; }

    // Writes a row as the operator.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        rows_[{ table, "", key }] = { encodeBase64(value), ++version_, false };
    }

private:
    struct Key {
        std::string table_;
        std::string part_;
        std::string key_;
        auto operator<=>(const Key&) const = default;
    };
    struct Row {
        std::string value_;
        uint64_t version_ { 0 };
        bool isDeleted_ { false };
    };

    static Key keyOf(const json::object& row)
    {
        const json::value* part = row.if_contains("part");
        return { std::string(row.at("table").as_string()), part ? std::string(part->as_string()) : "", std::string(row.at("key").as_string()) };
    }

    static json::object encode(const Key& key, const Row& row)
    {
        json::object encoded { { "table", key.table_ }, { "part", key.part_ }, { "key", key.key_ }, { "value", row.value_ }, { "ver", row.version_ } };
        if (row.isDeleted_)
            encoded["deleted"] = true;
        return encoded;
    }

    Answer reply(int status, json::object body) const
    {
        body["ver"] = version_;
        body["nowMs"] = steadyMs();
        return { status, json::serialize(body) };
    }

    asio::awaitable<Answer> answer(const Request& request)
    {
        co_await sleepFor(Millis(4));
        if (fault_ == StoreFault::Busy)
            co_return Answer(503, "{}");
        if (fault_ == StoreFault::Reset)
            co_return Answer(0, "", true);
        if (fault_ == StoreFault::Silent) {
            co_await sleepFor(Millis(60'000));
            co_return Answer(0, "", true);
        }
        std::string target(request.target());
        if (target.starts_with("/rows-tx"))
            co_return transact(request.body());
        if (target.starts_with("/rows-get"))
            co_return read(queryOf(target));
        if (target.starts_with("/rows-feed"))
            co_return co_await follow(queryOf(target));
        co_return Answer(404, "{}");
    }

    Answer transact(const std::string& body)
    {
        largestCall_ = std::max(largestCall_, body.size());
        json::object call = json::parse(body).as_object();
        const json::array& conditions = call.at("precondition").as_array();
        const json::array& puts = call.at("setKeys").as_array();
        const json::array& erases = call.at("deleteKeys").as_array();
        bool isOversized = body.size() > maximumCallBytes || conditions.size() + puts.size() + erases.size() > maximumEntries;
        for (const json::value& put : puts)
            isOversized = isOversized || decodedSize(std::string(put.as_object().at("value").as_string())) > maximumRowBytes;
        if (isOversized) {
            ++oversized_;
            return { 400, R"({"error":"the call or one of its rows is too large"})" };
        }
        bool conditionsHold = true;
        json::array current;
        for (const json::value& condition : conditions) {
            Key key = keyOf(condition.as_object());
            auto row = rows_.find(key);
            bool exists = row != rows_.end() && !row->second.isDeleted_;
            uint64_t version = exists ? row->second.version_ : 0;
            conditionsHold = conditionsHold && version == condition.as_object().at("ver").to_number<uint64_t>();
            if (exists)
                current.emplace_back(encode(key, row->second));
        }
        if (!conditionsHold)
            return reply(412, { { "rows", std::move(current) } });
        ++version_;
        ++transactions_;
        for (const json::value& put : puts)
            rows_[keyOf(put.as_object())] = { std::string(put.as_object().at("value").as_string()), version_, false };
        for (const json::value& erase : erases)
            rows_[keyOf(erase.as_object())] = { "", version_, true };
        return reply(200, {});
    }

    Answer read(std::map<std::string, std::string> query) const
    {
        size_t limit = query.count("limit") > 0 ? std::stoul(query["limit"]) : maximumRowsPerPage;
        limit = std::min(limit, maximumRowsPerPage);
        json::array found;
        bool hasMore = false;
        size_t bytes = 0;
        for (auto row = rows_.lower_bound({ query["table"], query["part"], query["from"] }); row != rows_.end(); ++row) {
            const Key& key = row->first;
            if (key.table_ != query["table"] || key.part_ != query["part"] || (!query["to"].empty() && key.key_ >= query["to"]))
                break;
            if (row->second.isDeleted_)
                continue;
            bytes += row->second.value_.size() + 200;
            hasMore = found.size() == limit || (bytes > maximumCallBytes && !found.empty());
            if (hasMore)
                break;
            found.emplace_back(encode(key, row->second));
        }
        return reply(200, { { "rows", std::move(found) }, { "hasMore", hasMore } });
    }

    using Changes = std::map<std::pair<uint64_t, std::string>, json::object>;

    Answer changed(Changes changes) const
    {
        json::array rows;
        for (auto& [position, row] : changes)
            rows.emplace_back(std::move(row));
        return reply(200, { { "rows", std::move(rows) } });
    }

    asio::awaitable<Answer> follow(std::map<std::string, std::string> query)
    {
        uint64_t after = std::stoull(query["after"]);
        int64_t end = steadyMs() + std::stoll(query["waitMs"]);
        for (;;) {
            Changes changes;
            for (auto row = rows_.lower_bound({ query["table"], "", "" }); row != rows_.end() && row->first.table_ == query["table"]; ++row) {
                if (row->second.version_ > after)
                    changes.emplace(std::pair(row->second.version_, row->first.key_), encode(row->first, row->second));
            }
            if (!changes.empty() || steadyMs() >= end) {
                co_return changed(std::move(changes));
            }
            co_await sleepFor(Millis(5));
            if (fault_ == StoreFault::Reset || fault_ == StoreFault::Busy)
                co_return Answer(0, "", true);
        }
    }

    std::map<Key, Row> rows_;
    uint64_t version_ { 0 };
    uint64_t transactions_ { 0 };
    uint64_t oversized_ { 0 };
    size_t largestCall_ { 0 };
    StoreFault fault_ { StoreFault::None };
    Server server_;
};

} // namespace review
