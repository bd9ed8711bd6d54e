#include "node/peer_messages.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch {

namespace {

using json = nlohmann::json;

json_ptr make_json_ptr(json value)
{
    return std::make_shared<const json>(std::move(value));
}

// MessagePack binary keeps bytes that are not valid UTF-8.
json binary(const std::string& data)
{
    return json::binary({data.begin(), data.end()});
}

std::string text_of(const json& value)
{
    if (value.is_binary()) {
        const auto& bytes = value.get_binary();
        return {bytes.begin(), bytes.end()};
    }
    return value.get<std::string>();
}

template<typename T, typename Encode> json list(const std::vector<T>& items, Encode encode)
{
    json out = json::array();
    for (const auto& item : items) {
        out.push_back(encode(item));
    }
    return out;
}

template<typename T, typename Decode> std::vector<T> decode_list(const json& items, Decode decode)
{
    std::vector<T> out;
    for (const auto& item : items) {
        out.push_back(decode(item));
    }
    return out;
}

template<typename Enum> Enum decode_enum(const json& value)
{
    const auto n = value.get<std::size_t>();
    return enum_names<Enum>.at(n).first;
}

template<typename Enum> std::size_t enum_index(Enum value)
{
    std::size_t n = 0;
    for (const auto& [candidate, name] : enum_names<Enum>) {
        if (candidate == value) {
            return n;
        }
        ++n;
    }
    return 0;
}

json encode_optional_duration(const std::optional<duration>& value)
{
    // Ages are rounded up, so that a confirmation never appears newer than it is.
    return value ? json(to_milliseconds(*value) + 1) : json(nullptr);
}

std::optional<duration> decode_optional_duration(const json& value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{value.get<std::int64_t>()};
}

json encode_optional_number(const std::optional<std::uint64_t>& value)
{
    return value ? json(*value) : json(nullptr);
}

std::optional<std::uint64_t> decode_optional_number(const json& value)
{
    return value.is_null() ? std::nullopt : std::optional{value.get<std::uint64_t>()};
}

json encode_member(const vm_gossip& m)
{
    return {m.process.vm.value,     m.process.run, m.address,
            m.failure_domain.value, m.sequence,    m.left};
}

vm_gossip decode_member(const json& j)
{
    return {{vm_id{j.at(0)}, j.at(1)}, j.at(2), failure_domain_id{j.at(3)}, j.at(4), j.at(5)};
}

json encode_report(const upstream_report& r)
{
    return {r.upstream.value,
            r.run,
            r.number,
            enum_index(r.state),
            r.load_step,
            to_milliseconds(r.age),
            list(r.loaded, [](const version_id& v) { return json(v.value); })};
}

upstream_report decode_report(const json& j)
{
    return {upstream_id{j.at(0)},
            j.at(1),
            j.at(2),
            decode_enum<upstream_state>(j.at(3)),
            j.at(4),
            std::chrono::milliseconds{j.at(5).get<std::int64_t>()},
            decode_list<version_id>(j.at(6), [](const json& v) { return version_id{v}; })};
}

json encode_share(const replica_statistics& s)
{
    return {s.upstream.value, s.counts.successes, s.counts.failures, s.slowness};
}

replica_statistics decode_share(const json& j)
{
    return {upstream_id{j.at(0)}, {j.at(1), j.at(2)}, j.at(3)};
}

json encode_cell(const sufficiency_cell& c)
{
    return {c.route,      c.model.value, c.source.vm.value, c.source.run, c.generation,
            c.sufficient, c.total};
}

sufficiency_cell decode_cell(const json& j)
{
    return {j.at(0), model_id{j.at(1)}, {vm_id{j.at(2)}, j.at(3)}, j.at(4), j.at(5), j.at(6)};
}

json encode_evidence(const evidence_entry& e)
{
    return {e.from.vm.value, e.from.run,    e.version.value,  e.counts.answers,
            e.counts.errors, e.counts.slow, e.counts.ratings, e.counts.insufficient};
}

evidence_entry decode_evidence(const json& j)
{
    return {{vm_id{j.at(0)}, j.at(1)},
            version_id{j.at(2)},
            {j.at(3), j.at(4), j.at(5), j.at(6), j.at(7)}};
}

json encode_record(const log_record& r)
{
    return {r.offset, binary(r.data)};
}

log_record decode_record(const json& j)
{
    return {j.at(0), text_of(j.at(1))};
}

json encode_amounts(const limit_amounts& a)
{
    return {a.requests, a.tokens, a.money};
}

limit_amounts decode_amounts(const json& j)
{
    return {j.at(0), j.at(1), j.at(2)};
}

std::int64_t nanoseconds_of(time_point t)
{
    return t.time_since_epoch().count();
}

time_point time_of(const json& j)
{
    return time_point{duration{j.get<std::int64_t>()}};
}

json encode_request(const share_request& r)
{
    return {r.vm.value, r.team.value, encode_amounts(r.demand), encode_amounts(r.floor),
            nanoseconds_of(r.asked_at)};
}

share_request decode_request(const json& j)
{
    return {vm_id{j.at(0)}, team_id{j.at(1)}, decode_amounts(j.at(2)), decode_amounts(j.at(3)),
            time_of(j.at(4))};
}

json encode_grant(const share_grant& g)
{
    return {g.vm.value, g.team.value, encode_amounts(g.share), nanoseconds_of(g.asked_at),
            g.term.count()};
}

share_grant decode_grant(const json& j)
{
    return {vm_id{j.at(0)}, team_id{j.at(1)}, decode_amounts(j.at(2)), time_of(j.at(3)),
            duration{j.at(4).get<std::int64_t>()}};
}

json encode_error(const std::optional<error>& e)
{
    if (!e) {
        return nullptr;
    }
    return {enum_index(e->code), enum_index(e->at), e->peer,
            enum_index(e->run),  e->detail,         encode_optional_duration(e->retry_after)};
}

std::optional<error> decode_error(const json& j)
{
    if (j.is_null()) {
        return std::nullopt;
    }
    return error{decode_enum<error_code>(j.at(0)),
                 decode_enum<step>(j.at(1)),
                 j.at(2),
                 decode_enum<run_state>(j.at(3)),
                 j.at(4).get<std::string>(),
                 decode_optional_duration(j.at(5))};
}

heartbeat_message decode_heartbeat(const json& j)
{
    heartbeat_message out;
    out.members = decode_list<vm_gossip>(j.at(0), decode_member);
    out.upstreams = decode_list<upstream_report>(j.at(1), decode_report);
    out.shares = decode_list<replica_statistics>(j.at(2), decode_share);
    out.ratings = decode_list<sufficiency_cell>(j.at(3), decode_cell);
    out.in_force = j.at(4);
    out.confirmed_age = decode_optional_duration(j.at(5));
    out.ready = j.at(6);
    out.evidence = decode_list<evidence_entry>(j.at(7), decode_evidence);
    return out;
}

log_records_message decode_records(const json& j)
{
    log_records_message out;
    out.stream = j.at(0);
    out.records.next = j.at(1);
    out.records.oldest = j.at(2);
    out.records.records = decode_list<log_record>(j.at(3), decode_record);
    out.records.ready = j.at(4);
    out.records.confirmed_age = decode_optional_duration(j.at(5));
    out.records.correlation_id = decode_optional_number(j.at(6));
    return out;
}

ticket_forward_message decode_forward(const json& j)
{
    return {j.at(0),
            j.at(1),
            j.at(2),
            j.at(3),
            j.at(4),
            text_of(j.at(5)),
            j.at(6).get<std::string>(),
            std::chrono::milliseconds{j.at(7).get<std::int64_t>()}};
}

ticket_answer_message decode_ticket_answer(const json& j)
{
    ticket_answer_message out;
    out.call = j.at(0);
    out.failure = decode_error(j.at(1));
    out.answer = {j.at(2), j.at(3), text_of(j.at(4))};
    return out;
}

expected<peer_message> decode_body(peer_message_kind kind, const json& j)
{
    switch (kind) {
    case peer_message_kind::heartbeat:
        return decode_heartbeat(j);
    case peer_message_kind::ended:
        return ended_message{j.at(0)};
    case peer_message_kind::log_request:
        return log_request_message{j.at(0), {j.at(1), j.at(2), j.at(3)}};
    case peer_message_kind::log_records:
        return decode_records(j);
    case peer_message_kind::snapshot:
        return snapshot_message{decode_list<std::string>(j.at(0), text_of),
                                decode_optional_number(j.at(1))};
    case peer_message_kind::bill_copy:
        return bill_copy_message{j.at(0), text_of(j.at(1))};
    case peer_message_kind::bill_ack:
        return bill_ack_message{j.at(0)};
    case peer_message_kind::bill_done:
        return bill_done_message{j.at(0), j.at(1).get<std::vector<std::uint64_t>>()};
    case peer_message_kind::claim_submit:
        return claim_submit_message{text_of(j.at(0))};
    case peer_message_kind::ticket_forward:
        return decode_forward(j);
    case peer_message_kind::ticket_answer:
        return decode_ticket_answer(j);
    case peer_message_kind::limit_request:
        return limit_request_message{decode_list<share_request>(j.at(0), decode_request)};
    case peer_message_kind::limit_grant:
        return limit_grant_message{decode_list<share_grant>(j.at(0), decode_grant)};
    }
    return tl::unexpected(error{});
}

error malformed(const peer_frame& frame, std::string detail)
{
    return error{error_code::malformed_request,
                 step::peer,
                 frame.from.vm.value,
                 run_state::not_run,
                 std::move(detail),
                 {}};
}

} // namespace

json_ptr encode_peer_message(const heartbeat_message& m)
{
    return make_json_ptr({list(m.members, encode_member), list(m.upstreams, encode_report),
                          list(m.shares, encode_share), list(m.ratings, encode_cell), m.in_force,
                          encode_optional_duration(m.confirmed_age), m.ready,
                          list(m.evidence, encode_evidence)});
}

json_ptr encode_peer_message(const ended_message& m)
{
    return make_json_ptr(json::array({m.run}));
}

json_ptr encode_peer_message(const log_request_message& m)
{
    return make_json_ptr({m.stream, m.request.from, m.request.snapshot, m.request.correlation_id});
}

json_ptr encode_peer_message(const log_records_message& m)
{
    return make_json_ptr({m.stream, m.records.next, m.records.oldest,
                          list(m.records.records, encode_record), m.records.ready,
                          encode_optional_duration(m.records.confirmed_age),
                          encode_optional_number(m.records.correlation_id)});
}

json_ptr encode_peer_message(const snapshot_message& m)
{
    return make_json_ptr(
        json::array({list(m.records, binary), encode_optional_number(m.correlation_id)}));
}

json_ptr encode_peer_message(const bill_copy_message& m)
{
    return make_json_ptr(json::array({json(m.id), binary(m.data)}));
}

json_ptr encode_peer_message(const bill_ack_message& m)
{
    return make_json_ptr(json::array({m.id}));
}

json_ptr encode_peer_message(const bill_done_message& m)
{
    return make_json_ptr(json::array({json(m.id), json(m.sequences)}));
}

json_ptr encode_peer_message(const claim_submit_message& m)
{
    return make_json_ptr(json::array({binary(m.data)}));
}

json_ptr encode_peer_message(const ticket_forward_message& m)
{
    return make_json_ptr({m.call, m.ticket, m.team, m.service, m.name, binary(m.payload),
                          m.content_type, to_milliseconds(m.time_left)});
}

json_ptr encode_peer_message(const ticket_answer_message& m)
{
    return make_json_ptr(json::array({json(m.call), encode_error(m.failure), json(m.answer.status),
                                      json(m.answer.content_type), binary(m.answer.payload)}));
}

json_ptr encode_peer_message(const limit_request_message& m)
{
    return make_json_ptr(json::array({list(m.requests, encode_request)}));
}

json_ptr encode_peer_message(const limit_grant_message& m)
{
    return make_json_ptr(json::array({list(m.grants, encode_grant)}));
}

peer_message_kind kind_of(const peer_message& message)
{
    // The alternatives of peer_message are declared in the order of peer_message_kind.
    return enum_names<peer_message_kind>.at(message.index()).first;
}

expected<peer_message> decode_peer_message(const peer_frame& frame)
{
    const auto kind = parse_name<peer_message_kind>(frame.kind);
    if (!kind) {
        return tl::unexpected(
            malformed(frame, "The peer sent a frame of the unknown kind " + frame.kind + "."));
    }
    try {
        return decode_body(*kind, *frame.body);
    }
    catch (const std::exception& e) {
        return tl::unexpected(
            malformed(frame, "The peer sent a malformed " + frame.kind + ": " + e.what()));
    }
}

} // namespace wagtailhitch
