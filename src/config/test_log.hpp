#pragma once

#include "base/digest.hpp"
#include "config/fold.hpp"
#include "config/parse.hpp"
#include "config/test_documents.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

// An in-memory log stream and helpers to submit changes to it, for tests of config_fold and
// config_follower.

namespace wagtailhitch {

/// Operators' keys, one of them unregistered, and a cluster key.
struct test_keys {
    operator_key ines{generate_operator_key()};
    operator_key luz{generate_operator_key()};
    operator_key unregistered{generate_operator_key()};
    std::string cluster{std::string(32, 'c')};

    [[nodiscard]] config_fold_settings settings() const
    {
        config_fold_settings out;
        out.operator_keys = {{"ines", ines.public_key}, {"luz", luz.public_key}};
        out.cluster_key = cluster;
        return out;
    }
};

/// Returns the documented example with another weight, so that documents differ by one number.
inline document document_with_weight(int weight)
{
    const auto json = with_change(sample_json(1), "/teams/bulletins/weight", weight);
    return parse_document(json).value();
}

inline config_change change_to(const std::string& submission, const config_fold& fold,
                               const document& target, const operator_key& key)
{
    return make_change(submission, fold.current_revision(), *fold.current(), target, key).value();
}

/// Returns the records of a change, split into `n` parts of about equal size.
inline std::vector<std::string> split_change(const config_change& change, std::size_t n)
{
    std::string joined;
    config_part part;
    const auto records = encode_change(change).value();
    for (const auto& record : records) {
        part = decode_part(record).value();
        joined += part.data;
    }
    std::vector<std::string> out;
    const auto size = joined.size() / n + 1;
    for (std::size_t i = 0; i < n; ++i) {
        const nlohmann::json record{
            {"kind", "change"},
            {"name", part.name},
            {"content", part.content},
            {"part", i},
            {"parts", n},
            {"data", joined.substr(std::min(i * size, joined.size()), size)}};
        out.push_back(record.dump());
    }
    return out;
}

struct test_config_log {
    std::vector<std::string> records;

    void append(const std::vector<std::string>& more)
    {
        records.insert(records.end(), more.begin(), more.end());
    }

    /// Applies the records to `fold` as if the log started at `oldest`.
    std::vector<config_output> read(config_fold& fold, log_offset oldest = 0) const
    {
        std::vector<config_output> out;
        fold.advance_oldest(oldest);
        // A snapshot moves the fold back at most once for each snapshot record.
        for (std::size_t n = 0; n < 3 * records.size() + 3; ++n) {
            if (fold.next_offset() >= records.size()) {
                return out;
            }
            for (auto& event : fold.apply(fold.next_offset(), records[fold.next_offset()])) {
                out.push_back(std::move(event));
            }
        }
        throw std::runtime_error{"The fold did not reach the log's head."};
    }
};

inline bool same_state(const config_fold& a, const config_fold& b)
{
    const auto left = a.snapshot();
    const auto right = b.snapshot();
    return left.next == right.next && left.at == right.at && *left.doc == *right.doc &&
           left.author == right.author && left.verdicts == right.verdicts &&
           left.pending == right.pending && a.digest() == b.digest();
}

} // namespace wagtailhitch
