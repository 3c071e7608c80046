#include "persimmondoor/settings/Subtrees.h"

#include "Reader.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cctype>
#include <map>
#include <openssl/evp.h>

namespace persimmondoor::settings {

namespace json = boost::json;

static constexpr size_t sha256HexDigits = 64;
static constexpr size_t maximumDepth = 32;

static bool isLowerHex(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

static std::string readTokenDigest(const Reader& reader)
{
    std::string text = reader.text();
    if (text.size() != sha256HexDigits || !std::all_of(text.begin(), text.end(), isLowerHex))
        reader.fault("must be 64 lower-case hexadecimal digits");
    return text;
}

static std::vector<std::string> readBranches(const Reader& reader)
{
    std::vector<std::string> branches;
    reader.forEachItem([&](const Reader& item) {
        std::string text = item.text();
        if (text != "*" && !checkName(text).ok())
            item.fault("must be the name of a subtree or \"*\"");
        branches.push_back(std::move(text));
    });
    return branches;
}

absl::StatusOr<std::vector<Operator>> parseOperators(std::string_view text)
{
    std::vector<Operator> operators;
    absl::Status status = readTree(text, [&](const Reader& reader) {
        reader.forEachField([&](const std::string& key, const Reader& item) {
            auto name = OperatorName::create(key);
            if (!name.ok())
                item.fault(std::string(name.status().message()));
            if (item.expectObject({ "token_sha256", "branches" }))
                operators.push_back({ name.ok() ? *name : OperatorName(), readTokenDigest(item.field("token_sha256")), readBranches(item.field("branches")) });
        });
    });
    if (!status.ok())
        return status;
    return operators;
}

absl::Status checkSubtree(const SubtreeName& name, std::string_view text)
{
    if (text.size() > maximumSubtreeBytes)
        return absl::InvalidArgumentError(concat("(root): larger than ", maximumSubtreeBytes, " bytes"));
    if (name.value() == operatorsSubtree)
        return parseOperators(text).status();
    return parseTeam(name, text).status();
}

std::string digestOfToken(std::string_view token)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    int done = EVP_Digest(token.data(), token.size(), digest, &size, EVP_sha256(), nullptr);
    assertInvariant(done == 1, "SHA-256 is available");
    return absl::BytesToHexString({ reinterpret_cast<const char*>(digest), size });
}

// Adds the path and the JSON text of each leaf of `value` to `leaves`.
static void flatten(const json::value& value, const std::string& path, std::map<std::string, std::string>& leaves)
{
    if (!value.is_object() || value.get_object().empty()) {
        leaves[path] = json::serialize(value);
        return;
    }
    for (const auto& item : value.get_object())
        flatten(item.value(), concat(path, path.empty() ? "" : ".", std::string_view(item.key().data(), item.key().size())), leaves);
}

static absl::StatusOr<std::map<std::string, std::string>> leavesOf(std::string_view text)
{
    boost::system::error_code error;
    json::parse_options options;
    options.max_depth = maximumDepth;
    json::value value = json::parse(text, error, {}, options);
    if (error)
        return absl::InvalidArgumentError(concat("not valid JSON: ", error.message()));
    std::map<std::string, std::string> leaves;
    flatten(value, "", leaves);
    return leaves;
}

absl::StatusOr<std::vector<Difference>> compareSubtrees(std::string_view before, std::string_view after)
{
    auto old = leavesOf(before);
    auto next = leavesOf(after);
    for (const absl::Status& status : { old.status(), next.status() }) {
        if (!status.ok())
            return status;
    }
    std::map<std::string, Difference> all;
    for (const auto& [path, text] : *old)
        all[path] = { path, text, "" };
    for (const auto& [path, text] : *next) {
        Difference& difference = all[path];
        difference.path_ = path;
        difference.after_ = text;
    }
    std::vector<Difference> differences;
    for (const auto& [path, difference] : all) {
        if (difference.before_ != difference.after_)
            differences.push_back(difference);
    }
    return differences;
}

} // namespace persimmondoor::settings
