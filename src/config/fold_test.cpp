#include "config/fold.hpp"
#include "config/test_log.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

using nlohmann::json;
using testing::Each;
using testing::HasSubstr;
using testing::Le;
using testing::SizeIs;

class config_fold_test : public testing::Test {
protected:
    config_change change(const std::string& id, int weight, const operator_key& key)
    {
        return change_to(id, fold_, document_with_weight(weight), key);
    }

    /// Appends the change and applies the log to fold_; returns the last output.
    config_output submit(const config_change& change)
    {
        log_.append(encode_change(change).value());
        return log_.read(fold_).back();
    }

    test_keys keys_;
    config_fold fold_{keys_.settings()};
    test_config_log log_;
};

TEST_F(config_fold_test, first_change_takes_effect_at_offset_plus_one)
{
    EXPECT_EQ(fold_.current_revision(), 0U);
    EXPECT_EQ(*fold_.current(), document{});
    const auto out = submit(change("s-1", 2, keys_.ines));
    ASSERT_TRUE(std::holds_alternative<change_accepted>(out));
    EXPECT_EQ(fold_.current_revision(), 1U);
    EXPECT_EQ(*fold_.current(), document_with_weight(2));
    EXPECT_EQ(fold_.digest(), document_digest(*fold_.current()));
    EXPECT_EQ(fold_.author(), to_hex(keys_.ines.public_key));
}

// Guards against the second of two concurrent changes being dropped silently or accepted later.
TEST_F(config_fold_test, second_of_two_racing_changes_is_rejected_with_the_winner)
{
    const auto first = change("s-1", 2, keys_.ines);
    const auto second = change("s-2", 3, keys_.luz);
    submit(first);
    const auto out = submit(second);
    const auto* rejected = std::get_if<change_rejected>(&out);
    ASSERT_NE(rejected, nullptr);
    EXPECT_EQ(rejected->verdict.refused, reject_reason::base_outdated);
    EXPECT_EQ(rejected->verdict.at, 1U);
    EXPECT_EQ(*fold_.current(), document_with_weight(2));
}

// Guards against a retry after a lost reply being applied again or rejected.
TEST_F(config_fold_test, repeated_submission_gets_its_first_verdict)
{
    const auto first = change("s-1", 2, keys_.ines);
    submit(first);
    submit(change("s-2", 3, keys_.luz));
    const auto out = submit(first);
    const auto* repeated = std::get_if<change_repeated>(&out);
    ASSERT_NE(repeated, nullptr);
    EXPECT_TRUE(repeated->verdict.accepted());
    EXPECT_EQ(repeated->verdict.at, 1U);
    EXPECT_EQ(fold_.current_revision(), 2U);
}

// Guards against a change that is applied partially, or at an offset other than that of the part
// that completes it.
TEST_F(config_fold_test, change_is_evaluated_at_its_last_part_to_arrive)
{
    const auto parts = split_change(change("s-1", 2, keys_.ines), 3);
    log_.append({parts[2], parts[0], parts[0]});
    log_.read(fold_);
    EXPECT_EQ(fold_.current_revision(), 0U);
    EXPECT_EQ(fold_.pending(), 1U);
    log_.append({parts[1]});
    log_.read(fold_);
    EXPECT_EQ(fold_.current_revision(), 4U);
    EXPECT_EQ(fold_.pending(), 0U);
}

struct reject_case {
    std::string name;
    std::function<void(config_change&)> damage;
    reject_reason reason;
};

// Guards against a corrupted change, or one without a registered author, being accepted.
TEST_F(config_fold_test, each_fault_is_rejected_with_its_reason)
{
    const auto sign_as = [](const operator_key& key) {
        return [&key](config_change& c) {
            c = make_change(c.submission, 0, {}, document_with_weight(2), key).value();
        };
    };
    const auto sign_again = [this](const config_change& c, const document& target, revision base) {
        return make_change(c.submission, base, *fold_.current(), target, keys_.ines).value();
    };
    auto invalid = document_with_weight(2);
    invalid.models.begin()->second.quality = 7;
    auto dangling = document_with_weight(2);
    dangling.routes.begin()->second.steps.emplace_back("nothing");
    const std::vector<reject_case> cases{
        {"stranger", sign_as(keys_.unregistered), reject_reason::unknown_operator},
        {"author", [&](auto& c) { c.author = to_hex(keys_.luz.public_key); },
         reject_reason::signature_invalid},
        {"digest", [](auto& c) { c.digest = std::string(32, '0'); },
         reject_reason::signature_invalid},
        {"patch", [](auto& c) { c.patch = json::array(); }, reject_reason::signature_invalid},
        {"base", [](auto& c) { c.base = 9; }, reject_reason::signature_invalid},
        {"signature", [](auto& c) { c.signature[0] = c.signature[0] == '0' ? '1' : '0'; },
         reject_reason::signature_invalid},
        {"future", [&](auto& c) { c = sign_again(c, document_with_weight(2), 99); },
         reject_reason::base_unknown},
        {"range", [&](auto& c) { c = sign_again(c, invalid, 0); }, reject_reason::document_invalid},
        {"reference", [&](auto& c) { c = sign_again(c, dangling, 0); },
         reject_reason::document_invalid},
        {"no author", [](auto& c) { c.author.clear(); }, reject_reason::malformed},
    };
    for (const auto& c : cases) {
        auto damaged = change(c.name, 2, keys_.ines);
        c.damage(damaged);
        damaged.submission = c.name;
        const auto out = submit(damaged);
        const auto* rejected = std::get_if<change_rejected>(&out);
        ASSERT_NE(rejected, nullptr) << c.name;
        EXPECT_EQ(rejected->verdict.refused, c.reason) << c.name;
        EXPECT_EQ(rejected->verdict.offset, log_.records.size() - 1) << c.name;
        EXPECT_EQ(fold_.current_revision(), 0U) << c.name;
    }
}

/// Signs a patch that make_change() would not produce.
class signed_patch_test : public config_fold_test {
protected:
    reject_reason reason_of(const json& patch, const std::string& digest)
    {
        // Builds the signed text itself, as make_change() signs only patches that it computes.
        config_change out = change("p-" + std::to_string(log_.records.size()), 2, keys_.ines);
        out.patch = patch;
        out.digest = digest;
        const json body{{"submission", out.submission},
                        {"base", out.base},
                        {"patch", out.patch},
                        {"digest", out.digest},
                        {"author", out.author}};
        const auto text = "wagtailhitch-change-1\n" + body.dump(-1, ' ', true);
        out.signature = to_hex(sign_ed25519(keys_.ines.private_key, text).value());
        const auto verdict = submit(out);
        return std::get<change_rejected>(verdict).verdict.refused.value();
    }
};

// Guards against a signed but invalid patch throwing, growing the document without bound or being
// accepted.
TEST_F(signed_patch_test, unusable_patch_is_rejected)
{
    const std::string digest(32, '0');
    const auto patch_failed = reject_reason::patch_failed;
    EXPECT_EQ(reason_of(json::parse(R"([{"op":"remove","path":"/models/x"}])"), digest),
              patch_failed);
    EXPECT_EQ(reason_of(json::parse(R"([{"op":"remove","path":""}])"), digest), patch_failed);
    EXPECT_EQ(reason_of(json::parse(R"([{"op":"add","path":"models","value":1}])"), digest),
              patch_failed);
    EXPECT_EQ(reason_of(json::parse(R"([{"op":"copy","from":"","path":"/models/x"}])"), digest),
              patch_failed);
    EXPECT_EQ(reason_of(json::parse("[1]"), digest), patch_failed);
    EXPECT_EQ(reason_of(json::parse(R"([{"op":"replace","path":"","value":[]}])"), digest),
              reject_reason::document_invalid);
    EXPECT_EQ(reason_of(json::array(), digest), reject_reason::digest_mismatch);
}

// Guards against a forged record blocking an operator's submission id.
TEST_F(config_fold_test, unsigned_rejection_leaves_the_submission_id_free)
{
    auto forged = change("s-1", 2, keys_.ines);
    forged.signature = std::string(128, '0');
    submit(forged);
    EXPECT_FALSE(fold_.verdict("s-1"));
    submit(change("s-1", 2, keys_.ines));
    EXPECT_TRUE(fold_.verdict("s-1")->accepted());
}

// Guards against unrelated records stopping the fold.
TEST_F(config_fold_test, unrelated_record_is_ignored)
{
    const std::string part = R"({"kind":"change","name":"s","content":"c","data":"x",)";
    log_.append({"", "{", "[]", "{}", std::string(40000, 'x'), std::string(9000, '['), "\xff",
                 part + R"("part":0,"parts":0})", part + R"("part":1,"parts":1})",
                 part + R"("part":0,"parts":100000})", part + R"("part":-1,"parts":1})"});
    const auto out = log_.read(fold_);
    EXPECT_THAT(out, SizeIs(log_.records.size()));
    for (const auto& event : out) {
        EXPECT_TRUE(std::holds_alternative<record_ignored>(event));
    }
    submit(change("s-1", 2, keys_.ines));
    EXPECT_EQ(fold_.current_revision(), log_.records.size());
}

// Guards against unbounded memory use by changes that never become complete.
TEST_F(config_fold_test, incomplete_changes_are_bounded_by_count_bytes_and_age)
{
    auto settings = keys_.settings();
    settings.pending_count = 3;
    settings.pending_span = 6;
    config_fold fold{settings};
    for (int i = 0; i < 5; ++i) {
        log_.append({split_change(change("s-" + std::to_string(i), 2, keys_.ines), 2)[0]});
    }
    log_.read(fold);
    EXPECT_EQ(fold.pending(), 3U);
    log_.append(std::vector<std::string>(6, "{}"));
    log_.append({split_change(change("s-9", 2, keys_.ines), 2)[0]});
    log_.read(fold);
    EXPECT_EQ(fold.pending(), 1U);

    settings = keys_.settings();
    settings.pending_bytes = 2000;
    config_fold small{settings};
    log_.read(small);
    EXPECT_LE(small.pending(), 2U);
}

// Guards against a change being accepted a second time after its verdict was discarded.
TEST_F(config_fold_test, change_older_than_the_kept_verdicts_is_rejected_as_outdated)
{
    auto settings = keys_.settings();
    settings.verdicts_kept = 2;
    config_fold fold{settings};
    const auto first = change_to("s-0", fold, document_with_weight(2), keys_.ines);
    log_.append(encode_change(first).value());
    for (int i = 1; i < 4; ++i) {
        log_.read(fold);
        const auto next =
            change_to("s-" + std::to_string(i), fold, document_with_weight(2 + i), keys_.ines);
        log_.append(encode_change(next).value());
    }
    log_.append(encode_change(first).value());
    const auto out = log_.read(fold);
    EXPECT_EQ(std::get<change_rejected>(out.back()).verdict.refused, reject_reason::base_outdated);
    EXPECT_EQ(fold.current_revision(), 4U);
}

TEST_F(config_fold_test, record_after_a_gap_changes_nothing)
{
    const auto out = fold_.apply(3, "{}");
    ASSERT_THAT(out, SizeIs(1));
    EXPECT_EQ(std::get<record_out_of_order>(out.front()).next, 0U);
    EXPECT_EQ(fold_.next_offset(), 0U);
}

// Guards against a large change being encoded in records that exceed the log's size limit.
TEST_F(config_fold_test, large_document_is_split_into_bounded_records)
{
    auto doc = document_with_weight(2);
    const auto upstream = doc.upstreams.begin()->second;
    for (int i = 0; i < 1000; ++i) {
        auto& added = doc.upstreams[upstream_id{"u-" + std::to_string(i)}];
        added = upstream;
        added.address = "127.0.1.1:" + std::to_string(1000 + i);
    }
    const auto records = encode_change(change_to("s-1", fold_, doc, keys_.ines)).value();
    EXPECT_GT(records.size(), 5U);
    std::vector<std::size_t> sizes;
    std::ranges::transform(records, std::back_inserter(sizes), &std::string::size);
    EXPECT_THAT(sizes, Each(Le(max_config_record_bytes)));
    log_.append(records);
    log_.read(fold_);
    EXPECT_EQ(*fold_.current(), doc);
}

class config_snapshot_test : public config_fold_test {
protected:
    void SetUp() override
    {
        submit(change("s-1", 2, keys_.ines));
        submit(change("s-2", 3, keys_.luz));
    }

    void publish(const config_snapshot& snapshot)
    {
        log_.append(encode_snapshot(snapshot, keys_.cluster).value());
    }
};

// Guards against a wrong state on a VM that starts after the log's first records have expired.
TEST_F(config_snapshot_test, fold_of_a_truncated_log_starts_at_the_snapshot)
{
    publish(fold_.snapshot());
    submit(change("s-3", 4, keys_.ines));
    config_fold late{keys_.settings()};
    log_.read(late, 2);
    EXPECT_TRUE(same_state(late, fold_));
    EXPECT_EQ(late.verdict("s-1"), fold_.verdict("s-1"));
}

// Guards against the loss of a change whose first part precedes a snapshot and whose last part
// follows it.
TEST_F(config_snapshot_test, change_that_straddles_the_snapshot_is_completed)
{
    const auto parts = split_change(change("s-3", 4, keys_.ines), 2);
    log_.append({parts[0]});
    log_.read(fold_);
    publish(fold_.snapshot());
    log_.append({parts[1]});
    log_.read(fold_);
    config_fold late{keys_.settings()};
    log_.read(late, 3);
    EXPECT_TRUE(same_state(late, fold_));
    EXPECT_EQ(late.current_revision(), 5U);
}

// Guards against adopting an old snapshot, published late by a paused VM, when records that follow
// its state have already expired.
TEST_F(config_snapshot_test, snapshot_with_lost_records_after_it_is_refused)
{
    const auto old = fold_.snapshot();
    submit(change("s-3", 4, keys_.ines));
    publish(old);
    config_fold late{keys_.settings()};
    log_.read(late, 3);
    EXPECT_TRUE(late.seeking_snapshot());
    EXPECT_EQ(late.current_revision(), 0U);
}

// Guards against a late snapshot reverting a VM to an older revision.
TEST_F(config_snapshot_test, older_snapshot_is_refused)
{
    const auto old = fold_.snapshot();
    submit(change("s-3", 4, keys_.ines));
    EXPECT_FALSE(fold_.adopt(old));
    publish(old);
    log_.read(fold_);
    EXPECT_EQ(fold_.current_revision(), 3U);
}

// Guards against a VM losing its state, or never catching up, when records that it has not read
// expire.
TEST_F(config_snapshot_test, fold_behind_a_gap_keeps_its_state_until_a_snapshot_bridges_it)
{
    config_fold behind{keys_.settings()};
    behind.apply(0, log_.records[0]);
    EXPECT_TRUE(behind.advance_oldest(2));
    EXPECT_EQ(behind.current_revision(), 1U);
    EXPECT_TRUE(behind.seeking_snapshot());
    publish(fold_.snapshot());
    log_.read(behind, 2);
    EXPECT_FALSE(behind.seeking_snapshot());
    EXPECT_EQ(behind.current_revision(), 2U);
}

// Guards against adopting a forged, corrupted or incomplete snapshot.
TEST_F(config_snapshot_test, snapshot_that_is_not_authentic_and_whole_is_ignored)
{
    auto forged = encode_snapshot(fold_.snapshot(), "another key").value();
    auto damaged = encode_snapshot(fold_.snapshot(), keys_.cluster).value();
    const auto at = damaged[0].find("narrator-3");
    damaged[0].replace(at, 10, "narrator-5");
    auto part = json::parse(encode_snapshot(fold_.snapshot(), keys_.cluster).value()[0]);
    part["parts"] = 2;
    for (const auto& record : {forged[0], damaged[0], part.dump()}) {
        log_.append({record});
    }
    config_fold late{keys_.settings()};
    log_.read(late, 2);
    EXPECT_TRUE(late.seeking_snapshot());
    EXPECT_EQ(late.current_revision(), 0U);
}

} // namespace
} // namespace wagtailhitch
