#include "Store.h"

#include <boost/json.hpp>
#include <cstring>
#include <thread>

namespace persimmondoor::review {

namespace json = boost::json;

// As the platform states them: bytes of a row's value before base64, bytes and entries of a call, and the time that a
// transaction takes.
static constexpr size_t rowBytes = 65536;
static constexpr size_t callBytes = 1'000'000;
static constexpr size_t callEntries = 100;
static constexpr auto transactionTime = std::chrono::milliseconds(6);

static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string encodeBase64(const std::string& text)
{
    std::string encoded;
    for (size_t index = 0; index < text.size(); index += 3) {
        uint32_t block = 0;
        for (size_t offset = 0; offset < 3; ++offset)
            block = block << 8 | (index + offset < text.size() ? static_cast<unsigned char>(text[index + offset]) : 0U);
        for (size_t offset = 0; offset < 4; ++offset)
            encoded.push_back(index + offset <= text.size() ? digits[block >> (18 - 6 * offset) & 63] : '=');
    }
    return encoded;
}

static std::string decodeBase64(const std::string& encoded)
{
    std::string text;
    uint32_t block = 0;
    int bits = 0;
    for (char digit : encoded) {
        const char* found = std::strchr(digits, digit);
        if (!found || digit == '=')
            break;
        block = block << 6 | static_cast<uint32_t>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            text.push_back(static_cast<char>(block >> bits & 255));
        }
    }
    return text;
}

static std::string text(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : "";
}

Store::Store(const std::string& ip, uint16_t port, Record& record)
    : record_(record)
    , server_(ip, port, [this](const Request& request) { return serve(request); })
{
}

Store::~Store()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    {
        std::lock_guard lock(mutex_);
        rows_[{ table, key }] = { encodeBase64(value), ++version_, false };
    }
    changed_.notify_all();
    record_.write("operator writes " + table + "/" + key + ": " + value);
}

std::string Store::read(const std::string& table, const std::string& key)
{
    std::lock_guard lock(mutex_);
    auto row = rows_.find({ table, key });
    return row == rows_.end() || row->second.isDeleted_ ? "" : decodeBase64(row->second.value_);
}

void Store::setDown(bool isDown)
{
    isDown_ = isDown;
    record_.write(isDown ? "the store is down" : "the store is up");
}

Response Store::serve(const Request& request)
{
    if (isDown_)
        return { 503, R"({"error":"try later"})" };
    std::string path = pathOf(request.target_);
    if (path == "/rows-tx")
        return commit(request);
    if (path == "/rows-get")
        return get(request);
    if (path == "/rows-feed")
        return feed(request);
    return { 404, "{}" };
}

static json::object encode(const std::pair<std::string, std::string>& key, const std::string& value, int64_t version)
{
    return { { "table", key.first }, { "part", "" }, { "key", key.second }, { "value", value }, { "ver", version } };
}

Response Store::commit(const Request& request)
{
    std::this_thread::sleep_for(transactionTime);
    json::object body = json::parse(request.body_).as_object();
    std::lock_guard lock(mutex_);
    const json::array& conditions = body.at("precondition").as_array();
    const json::array& puts = body.at("setKeys").as_array();
    const json::array& erasures = body.at("deleteKeys").as_array();
    bool isTooLarge = request.body_.size() > callBytes || conditions.size() + puts.size() + erasures.size() > callEntries;
    std::string largest;
    for (const json::value& item : puts) {
        size_t bytes = text(item.as_object(), "value").size() / 4 * 3;
        if (bytes > rowBytes + 2)
            largest = text(item.as_object(), "table") + "/" + text(item.as_object(), "key") + " of " + std::to_string(bytes) + " bytes";
    }
    if (isTooLarge || !largest.empty()) {
        record_.write("store refuses a transaction as too large: call of " + std::to_string(request.body_.size()) + " bytes; row " + largest);
        return { 400, R"({"error":"too large"})" };
    }
    json::array current;
    bool holds = true;
    for (const json::value& condition : conditions) {
        const json::object& object = condition.as_object();
        Key key { text(object, "table"), text(object, "key") };
        auto row = rows_.find(key);
        int64_t version = row == rows_.end() || row->second.isDeleted_ ? 0 : row->second.version_;
        holds = holds && version == object.at("ver").to_number<int64_t>();
        if (version > 0)
            current.emplace_back(encode(key, row->second.value_, version));
    }
    if (!holds)
        return { 412, json::serialize(json::object { { "rows", current }, { "ver", version_ }, { "nowMs", steadyMs() } }) };
    ++version_;
    for (const json::value& item : puts)
        rows_[{ text(item.as_object(), "table"), text(item.as_object(), "key") }] = { text(item.as_object(), "value"), version_, false };
    for (const json::value& item : erasures)
        rows_[{ text(item.as_object(), "table"), text(item.as_object(), "key") }] = { "", version_, true };
    changed_.notify_all();
    return { 200, json::serialize(json::object { { "ver", version_ }, { "nowMs", steadyMs() } }) };
}

Response Store::get(const Request& request)
{
    std::string table = queryParameter(request.target_, "table");
    std::string from = queryParameter(request.target_, "from");
    std::string to = queryParameter(request.target_, "to");
    std::string limitText = queryParameter(request.target_, "limit");
    size_t limit = limitText.empty() ? 500 : std::min<size_t>(std::stoul(limitText), 500);
    std::lock_guard lock(mutex_);
    json::array found;
    bool hasMore = false;
    size_t bytes = 0;
    for (auto row = rows_.lower_bound({ table, from }); row != rows_.end() && row->first.first == table && (to.empty() || row->first.second < to); ++row) {
        if (row->second.isDeleted_)
            continue;
        hasMore = found.size() >= limit || bytes > callBytes;
        if (hasMore)
            break;
        bytes += row->second.value_.size();
        found.emplace_back(encode(row->first, row->second.value_, row->second.version_));
    }
    return { 200, json::serialize(json::object { { "rows", found }, { "hasMore", hasMore }, { "ver", version_ }, { "nowMs", steadyMs() } }) };
}

Response Store::feed(const Request& request)
{
    std::string table = queryParameter(request.target_, "table");
    int64_t after = std::stoll(queryParameter(request.target_, "after"));
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(queryParameter(request.target_, "waitMs")));
    std::unique_lock lock(mutex_);
    std::map<int64_t, json::object> changes;
    auto collect = [&] {
        for (const auto& [key, row] : rows_) {
            if (key.first != table || row.version_ <= after)
                continue;
            json::object encoded = encode(key, row.value_, row.version_);
            if (row.isDeleted_)
                encoded["deleted"] = true;
            changes.emplace(row.version_, std::move(encoded));
        }
        return !changes.empty() || isStopping_;
    };
    changed_.wait_until(lock, end, collect);
    json::array rows;
    for (auto& [version, row] : changes)
        rows.emplace_back(std::move(row));
    return { 200, json::serialize(json::object { { "rows", rows }, { "ver", version_ }, { "nowMs", steadyMs() } }) };
}

} // namespace persimmondoor::review
