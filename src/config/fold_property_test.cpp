#include "config/fold.hpp"
#include "config/parse.hpp"
#include "config/test_log.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <random>

namespace wagtailhitch {
namespace {

using nlohmann::json;

/// A simple reference implementation of the fold: one reader, all records kept, no bounds.
struct reference_fold {
    std::set<std::string> authors;
    json doc = to_json(document{});
    revision at{0};
    std::map<std::string, std::optional<revision>> verdicts; ///< empty: rejected
    std::vector<std::pair<config_part, bool>> parts;         ///< with a "consumed" flag

    void apply(log_offset offset, const std::string& record)
    {
        const auto part = decode_part(record);
        if (!part || part->kind == config_part::part_kind::snapshot ||
            verdicts.contains(part->name)) {
            return;
        }
        parts.emplace_back(*part, false);
        std::string joined;
        std::vector<std::size_t> used;
        for (std::uint32_t wanted = 0; wanted < part->parts; ++wanted) {
            for (std::size_t i = 0; i < parts.size(); ++i) {
                const auto& [p, consumed] = parts[i];
                if (!consumed && p.name == part->name && p.content == part->content &&
                    p.part == wanted && used.size() == wanted) {
                    used.push_back(i);
                    joined += p.data;
                }
            }
        }
        if (used.size() < part->parts) {
            return;
        }
        for (auto& [p, consumed] : parts) {
            consumed = consumed || (p.name == part->name && p.content == part->content);
        }
        const auto change = decode_change(joined);
        if (change && authors.contains(change->author) && verify_signature(*change)) {
            verdicts[change->submission] = evaluate(*change, offset);
        }
    }

    std::optional<revision> evaluate(const config_change& change, log_offset offset)
    {
        if (change.base != at) {
            return std::nullopt;
        }
        const auto result = doc.patch(change.patch);
        const auto parsed = parse_document(result);
        if (!parsed || document_digest(*parsed) != change.digest) {
            return std::nullopt;
        }
        doc = to_json(*parsed);
        at = offset + 1;
        return at;
    }
};

/// A random log: rounds of concurrent changes whose parts are interleaved, repeated and sometimes
/// dropped, and snapshots of earlier prefixes.
class random_history {
public:
    random_history(const test_keys& keys, std::uint64_t seed) : keys_{keys}, random_{seed}
    {
        const auto rounds = 1 + pick(8);
        for (std::size_t i = 0; i < rounds; ++i) {
            add_round();
            if (pick(2) == 0) {
                publish_snapshot();
            }
        }
    }

    test_config_log log;
    std::size_t valid_rounds{0}; ///< rounds with at least one complete, valid change
    std::size_t pick(std::size_t n) { return random_() % n; }

private:
    /// Returns the parts of one change, and whether the change is complete and valid.
    std::pair<std::vector<std::string>, bool> random_change(const std::string& id)
    {
        const auto& fold = fold_;
        const auto& key =
            pick(8) == 0 ? keys_.unregistered : (pick(2) == 0 ? keys_.ines : keys_.luz);
        static const std::array<document, 3> targets{
            document_with_weight(1), document_with_weight(2), document_with_weight(3)};
        const auto& target = targets.at(pick(targets.size()));
        const bool stale = pick(6) == 0;
        // No generated log reaches revision 1000, so this base is never the current one.
        const revision wrong_base =
            fold.current_revision() == 0 || pick(2) == 0 ? 1000 : fold.current_revision() - 1;
        const auto base = stale ? wrong_base : fold.current_revision();
        const auto change = make_change(id, base, *fold.current(), target, key).value();
        auto parts = split_change(change, 1 + pick(4));
        bool good = !stale && &key != &keys_.unregistered;
        if (pick(6) == 0) {
            parts.erase(parts.begin() + static_cast<std::ptrdiff_t>(pick(parts.size())));
            good = false;
        }
        if (!parts.empty() && pick(3) == 0) {
            parts.push_back(parts[pick(parts.size())]);
        }
        return {parts, good};
    }

    void add_round()
    {
        log.read(fold_);
        std::vector<std::string> batch;
        bool any_good = false;
        const auto racing = 1 + pick(4);
        for (std::size_t i = 0; i < racing; ++i) {
            const auto id = "s-" + std::to_string(next_id_++);
            const auto [parts, good] = random_change(id);
            batch.insert(batch.end(), parts.begin(), parts.end());
            any_good = any_good || good;
        }
        std::ranges::shuffle(batch, random_);
        valid_rounds += any_good ? 1 : 0;
        log.append(batch);
    }

    /// Appends a snapshot of a shorter prefix, as a VM does that was paused before publishing it.
    void publish_snapshot()
    {
        const auto length =
            log.records.size() - pick(std::min<std::size_t>(log.records.size(), 6) + 1);
        test_config_log prefix{
            {log.records.begin(), log.records.begin() + static_cast<std::ptrdiff_t>(length)}};
        config_fold fold{keys_.settings()};
        prefix.read(fold);
        log.append(encode_snapshot(fold.snapshot(), keys_.cluster).value());
    }

    const test_keys& keys_;
    config_fold fold_{keys_.settings()};
    std::mt19937_64 random_;
    std::size_t next_id_{0};
};

class config_fold_property_test : public testing::Test {
protected:
    static const test_keys& keys()
    {
        static const test_keys instance;
        return instance;
    }

    static config_fold make_fold() { return config_fold{keys().settings()}; }
};

// Guards against config_fold, with its bounds, deciding differently from the reference
// implementation.
RC_GTEST_FIXTURE_PROP(config_fold_property_test, fold_agrees_with_the_reference_fold,
                      (std::uint64_t seed))
{
    const random_history h{keys(), seed};
    auto fold = make_fold();
    h.log.read(fold);
    reference_fold naive;
    const auto settings = keys().settings();
    for (const auto& [name, key] : settings.operator_keys) {
        naive.authors.insert(to_hex(key));
    }
    for (std::size_t i = 0; i < h.log.records.size(); ++i) {
        naive.apply(i, h.log.records[i]);
    }
    RC_ASSERT(fold.current_revision() == naive.at);
    RC_ASSERT(to_json(*fold.current()) == naive.doc);
    RC_ASSERT(fold.verdicts().size() == naive.verdicts.size());
    for (const auto& verdict : fold.verdicts()) {
        const auto& other = naive.verdicts.at(verdict.submission);
        RC_ASSERT(verdict.accepted() == other.has_value());
        RC_ASSERT(!other || *other == verdict.at);
    }
}

// Guards against accepting more or less than one of several concurrent changes, and against a
// decreasing revision.
RC_GTEST_FIXTURE_PROP(config_fold_property_test, each_race_has_one_winner_and_revisions_rise,
                      (std::uint64_t seed))
{
    const random_history h{keys(), seed};
    auto fold = make_fold();
    std::size_t accepted = 0;
    revision last = 0;
    for (std::size_t i = 0; i < h.log.records.size(); ++i) {
        for (const auto& event : fold.apply(i, h.log.records[i])) {
            accepted += std::holds_alternative<change_accepted>(event) ? 1 : 0;
        }
        RC_ASSERT(fold.current_revision() >= last);
        last = fold.current_revision();
    }
    RC_ASSERT(accepted == h.valid_rounds);
}

// Guards against a VM ending in a different state because it starts late, falls behind or receives
// records twice.
RC_GTEST_FIXTURE_PROP(config_fold_property_test, fold_from_any_prefix_gap_and_snapshot_agrees,
                      (std::uint64_t seed))
{
    random_history h{keys(), seed};
    auto full = make_fold();
    h.log.read(full);
    auto late = make_fold();
    const auto size = h.log.records.size();
    const auto seen = h.pick(size + 1);
    for (std::size_t i = 0; i < seen; ++i) {
        late.apply(i, h.log.records[i]);
        late.apply(h.pick(i + 1), h.log.records[h.pick(i + 1)]); // a relay repeats a record
    }
    const auto before = late.current_revision();
    h.log.read(late, h.pick(size + 1));
    RC_ASSERT(late.current_revision() >= before);
    if (late.seeking_snapshot()) {
        RC_ASSERT(late.current_revision() == before);
    }
    else {
        RC_ASSERT(same_state(late, full));
    }
}

} // namespace
} // namespace wagtailhitch
