#include "base/msgpack.hpp"
#include "proxy/peer_report.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

peer_report sample_report()
{
    peer_report out;
    out.scope = report_scope::domain;
    out.from = {vm_id{"a-1"}, 17};
    out.domain = failure_domain_id{"a"};
    out.members = 13;
    out.relayed = true;
    out.address = "10.0.0.1:7340";
    out.sequence = 5;
    out.configuration = 9;
    out.position = {log_epoch{3}, 44};
    out.confirmed_age = 120ms;
    out.replica_position = {log_epoch{2}, 812};
    out.replica_age = 340ms;
    out.received = {{{vm_id{"b-1"}, 18}, 77}};
    out.loads = {{upstream_id{"r1"}, 4}};
    out.rollouts = {
        {{"engine", "v2", 24s}, 3s, rollout_state::rolled_back, rollout_state::running, "errors"},
        {{"app", "v3", 12s, 8}, 1s, rollout_state::running, std::nullopt, ""}};
    out.outcomes = {{"app", "v2", 7, rollout_state::rolled_back}};
    out.evidence = {{version_id{"engine@v2#r"},
                     {.answers = 10, .errors = 2, .slow = 1, .paced = 6, .sluggish = 4}}};
    out.sessions = {{0xfedcba9876543210ULL, "v2", 40ms}};
    reported_calibration calibration;
    calibration.engine = 0xfedcba9876543211ULL;
    calibration.moments.fill(0.25F);
    out.calibration = {calibration};
    out.part_evidence = {
        {0xfedcba9876543212ULL, 2, {}, {{0xfedcba9876543213ULL, 40ms}, {7, 2s}}},
        {9, 0, 250ms, {}},
    };
    out.paces = {{"engine", 18250us}};
    out.leaving_replicas = {{upstream_id{"r2"}, 1789077001018}};
    out.unreachable_replicas = {{upstream_id{"r3"}, 1200ms}};
    out.quarantined = {{0xfedcba9876543214ULL, 300s, 2}, {5, -20s, 1}, {6, 0s, 1, true}};
    return out;
}

TEST(peer_report_test, report_round_trips_through_its_encoding)
{
    const auto decoded = decode_peer_report(encode_peer_report(sample_report()));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, sample_report());
}

// Guards against rejecting reports of VMs of the previous version, which lack the newer counts and
// run alongside new VMs during an upgrade.
TEST(peer_report_test, evidence_without_the_newer_counts_is_read)
{
    auto report = nlohmann::json::from_msgpack(encode_peer_report(sample_report()));
    for (auto& field : report) {
        if (field.is_array() && !field.empty() && field[0].is_array() && !field[0].empty() &&
            field[0][0] == "engine@v2#r") {
            constexpr int counts_of_the_first_version = 4;
            field[0].erase(field[0].begin() + counts_of_the_first_version, field[0].end());
        }
    }
    const auto decoded = decode_peer_report(encode_msgpack(report));
    ASSERT_TRUE(decoded.has_value());
    auto expected_evidence = sample_report().evidence;
    expected_evidence[0].counts.paced = 0;
    expected_evidence[0].counts.sluggish = 0;
    EXPECT_EQ(decoded->evidence, expected_evidence);
}

// Guards against rejecting reports of VMs of earlier versions, which do not report what they
// learned about the engines and about prompt parts.
TEST(peer_report_test, report_of_an_earlier_version_is_read)
{
    constexpr std::size_t fields_without_calibration = 20;
    constexpr std::size_t fields_without_parts = 21;
    auto report = nlohmann::json::from_msgpack(encode_peer_report(sample_report()));
    report.erase(report.begin() + fields_without_parts, report.end());
    auto decoded = decode_peer_report(encode_msgpack(report));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_TRUE(decoded->part_evidence.empty());
    EXPECT_TRUE(decoded->quarantined.empty());
    EXPECT_EQ(decoded->calibration, sample_report().calibration);

    report.erase(report.begin() + fields_without_calibration, report.end());
    decoded = decode_peer_report(encode_msgpack(report));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_TRUE(decoded->calibration.empty());
    EXPECT_EQ(decoded->sessions, sample_report().sessions);
}

TEST(peer_report_test, calibration_of_another_size_is_rejected)
{
    auto report = nlohmann::json::from_msgpack(encode_peer_report(sample_report()));
    constexpr std::size_t calibration = 20;
    report[calibration][0][1].push_back(1.0);
    EXPECT_FALSE(decode_peer_report(encode_msgpack(report)).has_value());
}

TEST(peer_report_test, report_of_another_layout_is_rejected)
{
    EXPECT_FALSE(decode_peer_report("\x91\x02").has_value());
    EXPECT_FALSE(decode_peer_report("").has_value());
}

RC_GTEST_PROP(peer_report_property, corrupted_report_is_rejected_or_decoded_safely, ())
{
    std::string data = encode_peer_report(sample_report());
    const auto at = *rc::gen::inRange<std::size_t>(0, data.size());
    data[at] = *rc::gen::arbitrary<char>();
    data.resize(*rc::gen::inRange<std::size_t>(0, data.size() + 1));
    const auto decoded = decode_peer_report(data);
    RC_CLASSIFY(decoded.has_value(), "readable");
}

} // namespace
} // namespace wagtailhitch
