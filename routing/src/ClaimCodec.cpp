#include "ClaimCodec.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/escaping.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::routing {

namespace json = boost::json;

static json::array encodeHeaders(const std::vector<HeaderField>& headers)
{
    json::array list;
    for (const HeaderField& field : headers)
        list.push_back(json::array { absl::Base64Escape(field.name_), absl::Base64Escape(field.value_) });
    return list;
}

std::string encodeClaim(const ClaimRow& row)
{
    json::object object { { "claimant", row.claimant_.value() }, { "digest", row.digest_ }, { "at", row.writtenAt_ }, { "state", static_cast<int>(row.state_) } };
    if (row.state_ == ClaimState::AnswerKept) {
        object["status"] = row.answer_.status_;
        object["headers"] = encodeHeaders(row.answer_.headers_);
        object["body"] = absl::Base64Escape(row.answer_.body_);
    }
    return json::serialize(object);
}

static std::string unescape(const json::value& text)
{
    std::string bytes;
    const json::string& escaped = text.as_string();
    if (!absl::Base64Unescape(absl::string_view(escaped.data(), escaped.size()), &bytes))
        throw std::invalid_argument("a field is not valid base64");
    return bytes;
}

static Done decodeAnswer(const json::object& object)
{
    Done answer { static_cast<int>(object.at("status").as_int64()), {}, unescape(object.at("body")) };
    for (const json::value& field : object.at("headers").as_array())
        answer.headers_.push_back({ unescape(field.at(0)), unescape(field.at(1)) });
    return answer;
}

absl::StatusOr<ClaimRow> decodeClaim(const std::string& text)
{
    try {
        json::value value = json::parse(text);
        const json::object& object = value.as_object();
        auto claimant = RequestId::create(std::string(object.at("claimant").as_string()));
        int64_t state = object.at("state").as_int64();
        if (!claimant.ok() || state < 0 || state > static_cast<int64_t>(ClaimState::AnswerNotKept))
            return absl::DataLossError("malformed claim row: invalid claimant or state");
        ClaimRow row { *claimant, object.at("digest").to_number<uint64_t>(), object.at("at").as_int64(), static_cast<ClaimState>(state), {} };
        if (row.state_ == ClaimState::AnswerKept)
            row.answer_ = decodeAnswer(object);
        return row;
    } catch (const std::exception& failure) {
        return absl::DataLossError(concat("malformed claim row: ", std::string(failure.what())));
    }
}

} // namespace persimmondoor::routing
