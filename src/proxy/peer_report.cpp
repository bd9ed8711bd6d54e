#include "proxy/peer_report.hpp"

#include "base/msgpack.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr std::string_view report_name = "peer report";

/// Layout version of the report's fields; later versions only append fields.
constexpr std::uint64_t layout_version = 2;
/// Positions in a report of fields that reports of earlier versions lack.
constexpr std::size_t calibration_index = 20;
constexpr std::size_t part_evidence_index = 21;
constexpr std::size_t unreachable_index = 25;
constexpr std::size_t outcomes_index = 26;
constexpr std::size_t epochs_index = 27;

json encode_loads(const std::vector<reported_load>& loads)
{
    json out = json::array();
    for (const auto& load : loads) {
        out.push_back({load.upstream.value, load.in_flight});
    }
    return out;
}

json encode_received(const std::vector<received_report>& received)
{
    json out = json::array();
    for (const auto& item : received) {
        out.push_back({item.from.vm.value, item.from.run, item.sequence});
    }
    return out;
}

json encode_rollouts(const std::vector<reported_rollout>& rollouts)
{
    json out = json::array();
    for (const auto& item : rollouts) {
        out.push_back({item.order.service, item.order.target, to_milliseconds(item.order.period),
                       to_milliseconds(item.age), name_of(item.state),
                       item.published ? name_of(*item.published) : std::string_view{}, item.reason,
                       item.order.number});
    }
    return out;
}

json encode_outcomes(const std::vector<rollout_outcome>& outcomes)
{
    json out = json::array();
    for (const auto& item : outcomes) {
        out.push_back({item.service, item.software, item.order, name_of(item.state)});
    }
    return out;
}

json encode_evidence(const std::vector<reported_evidence>& evidence)
{
    json out = json::array();
    for (const auto& item : evidence) {
        out.push_back({item.group.value, item.counts.answers, item.counts.errors, item.counts.slow,
                       item.counts.dragged, item.counts.paced, item.counts.sluggish});
    }
    return out;
}

json encode_sessions(const std::vector<reported_session>& sessions)
{
    json out = json::array();
    for (const auto& item : sessions) {
        out.push_back({item.session, item.software, to_milliseconds(item.age)});
    }
    return out;
}

json encode_calibration(const std::vector<reported_calibration>& calibration)
{
    json out = json::array();
    for (const auto& item : calibration) {
        out.push_back({item.engine, item.moments});
    }
    return out;
}

json encode_part_evidence(const std::vector<part_evidence>& evidence)
{
    json out = json::array();
    for (const auto& item : evidence) {
        json crashes = json::array();
        for (const auto& lost : item.crashes) {
            crashes.push_back({lost.run, to_milliseconds(lost.age)});
        }
        json survival = json::array();
        if (item.survival_age) {
            survival.push_back(to_milliseconds(*item.survival_age));
        }
        out.push_back({item.part, item.depth, std::move(survival), std::move(crashes)});
    }
    return out;
}

json encode_quarantined(const std::vector<quarantined_part>& parts)
{
    json out = json::array();
    for (const auto& item : parts) {
        out.push_back({item.part, to_milliseconds(item.remaining), item.times, item.released});
    }
    return out;
}

json encode_unreachable(const std::vector<reported_unreachable>& replicas)
{
    json out = json::array();
    for (const auto& item : replicas) {
        out.push_back({item.upstream.value, to_milliseconds(item.age)});
    }
    return out;
}

json encode_leaving(const std::vector<reported_leaving>& replicas)
{
    json out = json::array();
    for (const auto& item : replicas) {
        out.push_back({item.upstream.value, item.started_ms});
    }
    return out;
}

json encode_paces(const std::vector<reported_pace>& paces)
{
    json out = json::array();
    for (const auto& item : paces) {
        out.push_back(
            {item.service,
             std::chrono::duration_cast<std::chrono::microseconds>(item.fastest_interval).count()});
    }
    return out;
}

/// Bounded, so that arithmetic with a malformed report's times cannot overflow.
duration milliseconds(std::int64_t value)
{
    constexpr std::int64_t longest = std::chrono::milliseconds{std::chrono::years{1}}.count();
    return std::chrono::milliseconds{std::clamp(value, -longest, longest)};
}

bool decode_loads(const json& array, std::vector<reported_load>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        reported_load load;
        load.upstream = upstream_id{in.text()};
        load.in_flight = static_cast<std::uint32_t>(in.number());
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(load));
    }
    return true;
}

bool decode_received(const json& array, std::vector<received_report>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        received_report received;
        received.from.vm = vm_id{in.text()};
        received.from.run = in.number();
        received.sequence = in.number();
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(received));
    }
    return true;
}

bool decode_rollouts(const json& array, std::vector<reported_rollout>& out)
{
    for (const auto& item : array) {
        constexpr std::size_t number_index = 7;
        field_reader in{item};
        reported_rollout rollout;
        rollout.order.service = in.text();
        rollout.order.target = in.text();
        rollout.order.period = milliseconds(in.integer());
        rollout.age = milliseconds(in.integer());
        const auto state = parse_name<rollout_state>(in.text());
        rollout.published = parse_name<rollout_state>(in.text());
        rollout.reason = in.text();
        // Absent in reports of earlier versions.
        rollout.order.number = item.size() > number_index ? in.number() : 0;
        if (!in.complete() || !state) {
            return false;
        }
        rollout.state = *state;
        out.push_back(std::move(rollout));
    }
    return true;
}

bool decode_outcomes(const json& array, std::vector<rollout_outcome>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        rollout_outcome outcome;
        outcome.service = in.text();
        outcome.software = in.text();
        outcome.order = in.number();
        const auto state = parse_name<rollout_state>(in.text());
        if (!in.complete() || !state) {
            return false;
        }
        outcome.state = *state;
        out.push_back(std::move(outcome));
    }
    return true;
}

bool decode_evidence(const json& array, std::vector<reported_evidence>& out)
{
    for (const auto& item : array) {
        constexpr std::size_t dragged_index = 4;
        constexpr std::size_t paced_index = 5;
        field_reader in{item};
        reported_evidence evidence;
        evidence.group = version_id{in.text()};
        evidence.counts.answers = in.number();
        evidence.counts.errors = in.number();
        evidence.counts.slow = in.number();
        // Absent in reports of earlier versions, which run alongside this one in an upgrade.
        evidence.counts.dragged = item.size() > dragged_index ? in.number() : 0;
        evidence.counts.paced = item.size() > paced_index ? in.number() : 0;
        evidence.counts.sluggish = item.size() > paced_index ? in.number() : 0;
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(evidence));
    }
    return true;
}

bool decode_sessions(const json& array, std::vector<reported_session>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        reported_session session;
        session.session = in.number();
        session.software = in.text();
        session.age = milliseconds(in.integer());
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(session));
    }
    return true;
}

bool decode_calibration(const json& array, std::vector<reported_calibration>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        reported_calibration calibration;
        calibration.engine = in.number();
        const json& moments = in.array();
        if (!in.complete() || moments.size() != calibration.moments.size()) {
            return false;
        }
        for (std::size_t i = 0; i < moments.size(); ++i) {
            if (!moments[i].is_number()) {
                return false;
            }
            calibration.moments[i] = moments[i].get<float>();
        }
        out.push_back(calibration);
    }
    return true;
}

bool decode_part_evidence(const json& array, std::vector<part_evidence>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        part_evidence evidence;
        evidence.part = in.number();
        evidence.depth = static_cast<std::uint32_t>(in.number());
        const json& survival = in.array();
        if (!survival.empty()) {
            if (!survival.front().is_number_integer()) {
                return false;
            }
            evidence.survival_age = milliseconds(survival.front().get<std::int64_t>());
        }
        for (const auto& crash : in.array()) {
            field_reader lost{crash};
            const replica_run run = lost.number();
            const duration age = milliseconds(lost.integer());
            if (!lost.complete()) {
                return false;
            }
            evidence.crashes.push_back({run, age});
        }
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(evidence));
    }
    return true;
}

bool decode_quarantined(const json& array, std::vector<quarantined_part>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        quarantined_part part;
        part.part = in.number();
        part.remaining = milliseconds(in.integer());
        part.times = static_cast<std::uint32_t>(in.number());
        part.released = in.flag();
        if (!in.complete()) {
            return false;
        }
        out.push_back(part);
    }
    return true;
}

bool decode_leaving(const json& array, std::vector<reported_leaving>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        reported_leaving replica;
        replica.upstream = upstream_id{in.text()};
        replica.started_ms = in.number();
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(replica));
    }
    return true;
}

bool decode_unreachable(const json& array, std::vector<reported_unreachable>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        reported_unreachable replica;
        replica.upstream = upstream_id{in.text()};
        replica.age = milliseconds(in.integer());
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(replica));
    }
    return true;
}

bool decode_paces(const json& array, std::vector<reported_pace>& out)
{
    for (const auto& item : array) {
        field_reader in{item};
        reported_pace pace;
        pace.service = in.text();
        pace.fastest_interval = std::chrono::microseconds{in.number()};
        if (!in.complete()) {
            return false;
        }
        out.push_back(std::move(pace));
    }
    return true;
}

} // namespace

std::string encode_peer_report(const peer_report& report)
{
    return encode_msgpack(json::array({layout_version,
                                       name_of(report.scope),
                                       report.from.vm.value,
                                       report.from.run,
                                       report.domain.value,
                                       report.members,
                                       report.relayed,
                                       report.address,
                                       report.sequence,
                                       report.configuration,
                                       report.position.offset,
                                       to_milliseconds(report.confirmed_age),
                                       report.replica_position.offset,
                                       to_milliseconds(report.replica_age),
                                       report.leaving,
                                       encode_received(report.received),
                                       encode_loads(report.loads),
                                       encode_rollouts(report.rollouts),
                                       encode_evidence(report.evidence),
                                       encode_sessions(report.sessions),
                                       encode_calibration(report.calibration),
                                       encode_part_evidence(report.part_evidence),
                                       encode_quarantined(report.quarantined),
                                       encode_paces(report.paces),
                                       encode_leaving(report.leaving_replicas),
                                       encode_unreachable(report.unreachable_replicas),
                                       encode_outcomes(report.outcomes),
                                       to_number(report.position.epoch),
                                       to_number(report.replica_position.epoch)}));
}

expected<peer_report> decode_peer_report(std::string_view data)
{
    const auto value = decode_msgpack(data, step::peer, report_name);
    if (!value) {
        return tl::unexpected(value.error());
    }
    field_reader in{*value};
    peer_report report;
    const bool known = in.number() == layout_version;
    const auto scope = parse_name<report_scope>(in.text());
    report.from.vm = vm_id{in.text()};
    report.from.run = in.number();
    report.domain = failure_domain_id{in.text()};
    report.members = static_cast<std::uint32_t>(in.number());
    report.relayed = in.flag();
    report.address = in.text();
    report.sequence = in.number();
    report.configuration = in.number();
    report.position.offset = in.number();
    report.confirmed_age = milliseconds(in.integer());
    report.replica_position.offset = in.number();
    report.replica_age = milliseconds(in.integer());
    report.leaving = in.flag();
    const bool lists_decoded =
        decode_received(in.array(), report.received) && decode_loads(in.array(), report.loads) &&
        decode_rollouts(in.array(), report.rollouts) &&
        decode_evidence(in.array(), report.evidence) &&
        decode_sessions(in.array(), report.sessions) &&
        // Absent in reports of the previous version.
        (value->size() <= calibration_index ||
         decode_calibration(in.array(), report.calibration)) &&
        (value->size() <= part_evidence_index ||
         (decode_part_evidence(in.array(), report.part_evidence) &&
          decode_quarantined(in.array(), report.quarantined) &&
          decode_paces(in.array(), report.paces) &&
          decode_leaving(in.array(), report.leaving_replicas))) &&
        (value->size() <= unreachable_index ||
         decode_unreachable(in.array(), report.unreachable_replicas)) &&
        (value->size() <= outcomes_index || decode_outcomes(in.array(), report.outcomes));
    if (value->size() > epochs_index) {
        report.position.epoch = log_epoch{in.number()};
        report.replica_position.epoch = log_epoch{in.number()};
    }
    if (!known || !scope || !lists_decoded || !in.complete()) {
        return tl::unexpected(malformed(step::peer, report_name));
    }
    report.scope = *scope;
    return report;
}

} // namespace wagtailhitch
