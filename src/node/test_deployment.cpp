#include "node/test_deployment.hpp"

#include "config/parse.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailhitch {

namespace {

constexpr duration step_length = 5ms;
constexpr duration peer_delay = 1ms;
constexpr duration log_delay = 10ms;
constexpr std::uint64_t answer_tokens = 8;
const std::string team_token = "token-test";

failure_domain_id domain_of(const std::string& vm)
{
    return failure_domain_id{vm.substr(0, 1)};
}

std::string address_of(const std::string& vm)
{
    return "127.0.0.1:" + std::to_string(1000 + hash64(vm) % 50000);
}

attempt_failed failure_of(const attempt_start& start, error_code code, run_state run,
                          std::uint64_t next)
{
    return {start.attempt,
            {code, step::dispatch, start.upstream.value, run, "The fake upstream failed.", {}},
            next};
}

} // namespace

test_deployment::test_deployment(const std::vector<std::string>& vms)
{
    for (const auto& vm : vms) {
        start(vm);
    }
}

void test_deployment::start(const std::string& vm)
{
    auto& node = nodes_[vm];
    node = test_node{};
    node.registry = std::make_unique<metrics>();
    node.self = {vm_id{vm}, next_run_++};
    node.alive = true;
    core_settings settings;
    settings.self = node.self;
    settings.peer_address = address_of(vm);
    settings.failure_domain = domain_of(vm);
    settings.region = region_id{"r"};
    settings.cluster_key = std::string(32, 'c');
    settings.session_key = std::string(32, 's');
    settings.operator_keys = {{"test", operator_.public_key}};
    settings.seed = node.self.run;
    settings.wall_ms = [this] { return to_milliseconds(clock_.now().time_since_epoch()); };
    node.core = std::make_unique<node_core>(settings, *node.registry, clock_.now());
}

void test_deployment::submit(const document& target)
{
    const auto change = make_change("s-" + std::to_string(next_submission_++), revision_,
                                    *submitted_, target, operator_);
    const auto records = encode_change(*change);
    auto& stream = streams_["config"];
    for (const auto& record : *records) {
        stream.push_back({stream.size(), record});
    }
    submitted_ = std::make_shared<document>(target);
    revision_ = stream.size();
}

void test_deployment::schedule_input(duration delay, const std::string& vm, input message)
{
    const auto run = nodes_.at(vm).self.run;
    pending_.push_back({clock_.now() + delay, vm, run, std::move(message)});
}

void test_deployment::run_for(duration time)
{
    const auto end = clock_.now() + time;
    while (clock_.now() < end) {
        clock_.advance(step_length);
        step();
    }
}

bool test_deployment::is_isolated(const std::string& vm) const
{
    return std::find(cut_off.begin(), cut_off.end(), vm) != cut_off.end();
}

void test_deployment::send_vm_list()
{
    if (clock_.now() < next_vm_list_) {
        return;
    }
    next_vm_list_ = clock_.now() + 1s;
    vm_list list;
    for (const auto& [vm, node] : nodes_) {
        list.entries.push_back({vm_id{vm}, address_of(vm), domain_of(vm), vm_list_state::live});
    }
    for (const auto& [vm, node] : nodes_) {
        if (node.alive && !is_isolated(vm)) {
            schedule_input(peer_delay, vm, list);
        }
    }
}

void test_deployment::step()
{
    send_vm_list();
    std::vector<timed_input> due;
    const auto split =
        std::stable_partition(pending_.begin(), pending_.end(), [this](const timed_input& item) {
            return item.at > clock_.now() || nodes_.at(item.vm).frozen;
        });
    due.assign(std::make_move_iterator(split), std::make_move_iterator(pending_.end()));
    pending_.erase(split, pending_.end());
    for (const auto& item : due) {
        if (nodes_.at(item.vm).self.run == item.run) {
            deliver(item.vm, item.message);
        }
    }
    for (auto& [vm, node] : nodes_) {
        if (!node.alive || node.frozen) {
            continue;
        }
        feed_log(vm, node);
        std::vector<output> outputs;
        node.core->tick(clock_.now(), outputs);
        carry_out(vm, outputs);
    }
}

void test_deployment::deliver(const std::string& vm, const input& message)
{
    auto& node = nodes_.at(vm);
    if (!node.alive) {
        return;
    }
    std::vector<output> outputs;
    node.core->handle(message, clock_.now(), outputs);
    carry_out(vm, outputs);
}

void test_deployment::carry_out(const std::string& vm, std::vector<output>& outputs)
{
    for (const auto& item : outputs) {
        std::visit([&](const auto& out) { on(vm, out); }, item);
    }
}

void test_deployment::feed_log(const std::string& vm, test_node& node)
{
    if (log_unreachable || is_isolated(vm)) {
        return;
    }
    for (auto& [stream, from] : node.follows) {
        auto& records = streams_[stream];
        log_batch batch;
        batch.stream = stream;
        batch.head = records.size();
        batch.from = from;
        batch.asked_at = clock_.now();
        batch.records.assign(records.begin() +
                                 static_cast<std::ptrdiff_t>(std::min(from, batch.head)),
                             records.end());
        from = batch.head;
        std::vector<output> outputs;
        node.core->handle(batch, clock_.now(), outputs);
        carry_out(vm, outputs);
    }
}

test_answer& test_deployment::call(const std::string& vm, caller_request request)
{
    request.caller = next_caller_++;
    request.bearer_token = team_token;
    auto& answer = answers_[{vm, request.caller}];
    deliver(vm, request);
    return answer;
}

void test_deployment::disconnect_caller(const std::string& vm, caller_token caller)
{
    deliver(vm, caller_gone{caller});
}

void test_deployment::kill(const std::string& vm)
{
    nodes_.at(vm).alive = false;
}

void test_deployment::restart(const std::string& vm)
{
    start(vm);
}

void test_deployment::freeze(const std::string& vm, bool frozen)
{
    nodes_.at(vm).frozen = frozen;
}

void test_deployment::stop(const std::string& vm)
{
    deliver(vm, stop_requested{});
}

std::uint64_t test_deployment::counter_of(const std::string& vm, const std::string& name,
                                          const metric_labels& labels)
{
    return nodes_.at(vm).registry->count(name, labels).value();
}

std::size_t test_deployment::records_written() const
{
    std::size_t out = 0;
    for (const auto& [name, records] : streams_) {
        out += records.size();
    }
    return out;
}

test_answer* test_deployment::answer_for(const std::string& vm, caller_token caller)
{
    const auto it = answers_.find({vm, caller});
    return it == answers_.end() ? nullptr : &it->second;
}

void test_deployment::on(const std::string& vm, const answer_start& out)
{
    auto* answer = answer_for(vm, out.caller);
    answer->started = true;
    answer->version = out.version.value;
    answer->headers = out.headers;
}

void test_deployment::on(const std::string& vm, const answer_chunk& out)
{
    answer_for(vm, out.caller)->content += out.content;
}

void test_deployment::on(const std::string& vm, const answer_end& out)
{
    answer_for(vm, out.caller)->ended = true;
}

void test_deployment::on(const std::string& vm, const answer_whole& out)
{
    if (auto* answer = answer_for(vm, out.caller)) {
        answer->ended = true;
        answer->status = out.status;
        answer->content = out.payload;
    }
}

void test_deployment::on(const std::string& vm, const answer_error& out)
{
    if (auto* answer = answer_for(vm, out.caller)) {
        answer->failure = out.reason;
    }
}

void test_deployment::on(const std::string& vm, const published_state& out)
{
    nodes_.at(vm).published = out;
}

void test_deployment::on(const std::string& vm, const attempt_start& out)
{
    run_attempt(vm, out);
}

void test_deployment::run_attempt(const std::string& vm, const attempt_start& start)
{
    const auto in = [&](const std::vector<upstream_id>& list) {
        return std::find(list.begin(), list.end(), start.upstream) != list.end();
    };
    if (in(unreachable)) {
        schedule_input(
            1ms, vm, failure_of(start, error_code::upstream_connect_failed, run_state::not_run, 0));
        return;
    }
    if (in(leaving)) {
        schedule_input(1ms, vm, upstream_notice{start.attempt, true, 0, std::nullopt});
    }
    if (const auto asked = quiet.find(start.upstream); asked != quiet.end()) {
        refused_while_quiet.push_back(start.upstream);
        schedule_input(1ms, vm, upstream_notice{start.attempt, false, 0, asked->second});
        schedule_input(1ms, vm,
                       failure_of(start, error_code::upstream_refused, run_state::not_run, 0));
        return;
    }
    if (start.kind == attempt_kind::service_call) {
        executions_.push_back(
            {start.upstream, start.version, start.payload, start.idempotency_key});
        if (in(silent)) {
            schedule_input(
                start.first_byte_timeout, vm,
                failure_of(start, error_code::upstream_timeout, run_state::outcome_unknown, 0));
            return;
        }
        attempt_finished done;
        done.attempt = start.attempt;
        done.payload = "done " + start.payload;
        done.content_type = "text/plain";
        schedule_input(service_time, vm, done);
        return;
    }
    if (std::find(failing.begin(), failing.end(), start.version) != failing.end()) {
        schedule_input(
            service_time, vm,
            failure_of(start, error_code::upstream_failed, run_state::outcome_unknown, 0));
        return;
    }
    if (start.kind == attempt_kind::chat) {
        executions_.push_back({start.upstream, start.version, {}, {}});
        generations_[start.generation] = {answer_tokens, start.version};
    }
    if (in(silent)) {
        schedule_input(
            start.first_byte_timeout, vm,
            failure_of(start, error_code::upstream_timeout, run_state::outcome_unknown, 0));
        return;
    }
    const auto& source = generations_.at(start.generation);
    for (std::uint64_t i = start.resume_from; i < source.tokens; ++i) {
        if (break_stream_after != 0 && i == break_stream_after) {
            break_stream_after = 0;
            schedule_input(
                service_time, vm,
                failure_of(start, error_code::stream_broken, run_state::outcome_unknown, i));
            return;
        }
        schedule_input(
            service_time, vm,
            attempt_chunk{start.attempt, i, source.version.value + ":" + std::to_string(i) + " "});
    }
    attempt_finished done;
    done.attempt = start.attempt;
    done.prompt_tokens = 10;
    done.generated_tokens = source.tokens;
    done.finish_reason = "stop";
    schedule_input(service_time, vm, done);
}

void test_deployment::on(const std::string& /*vm*/, const attempt_cancel& /*out*/) {}

void test_deployment::on(const std::string& vm, const probe_upstream& out)
{
    probe_result result;
    result.upstream = out.upstream;
    result.reachable =
        std::find(unreachable.begin(), unreachable.end(), out.upstream) == unreachable.end();
    result.run = 1;
    result.loaded = submitted_->upstreams.at(out.upstream).versions;
    schedule_input(peer_delay, vm, result);
}

void test_deployment::on(const std::string& /*vm*/, const upstream_order& /*out*/) {}

void test_deployment::on(const std::string& vm, const log_append& out)
{
    append(vm, out);
}

void test_deployment::append(const std::string& vm, const log_append& request)
{
    const error log_error{error_code::log_unavailable, step::platform, "log",
                          run_state::outcome_unknown,  "away",         {}};
    if (log_unreachable || is_isolated(vm)) {
        schedule_input(log_delay, vm, append_result{request.append, tl::unexpected(log_error)});
        return;
    }
    for (const auto& record : request.records) {
        // Throws when a record is not valid UTF-8, because the platform client would fail too.
        nlohmann::json(record).dump();
    }
    auto& stream = streams_[request.stream];
    const auto first = stream.size();
    for (const auto& record : request.records) {
        stream.push_back({stream.size(), record});
    }
    if (lose_log_replies) {
        schedule_input(log_delay, vm, append_result{request.append, tl::unexpected(log_error)});
        return;
    }
    schedule_input(log_delay, vm, append_result{request.append, first});
}

void test_deployment::on(const std::string& vm, const log_follow& out)
{
    auto& follows = nodes_.at(vm).follows;
    if (out.active) {
        follows[out.stream] = out.from;
    }
    else {
        follows.erase(out.stream);
    }
}

void test_deployment::on(const std::string& vm, const peer_send& out)
{
    nodes_.at(vm).peer_bytes += nlohmann::json::to_msgpack(*out.body).size();
    const auto to = nodes_.find(out.to.value);
    if (to == nodes_.end() || !to->second.alive || is_isolated(vm) || is_isolated(out.to.value)) {
        return;
    }
    peer_frame frame{nodes_.at(vm).self, domain_of(vm), next_sequence_++, out.kind, out.body};
    schedule_input(peer_delay, out.to.value, frame);
}

void test_deployment::on(const std::string& vm, const stopped& /*out*/)
{
    nodes_.at(vm).stopped = true;
    nodes_.at(vm).alive = false;
}

document test_document()
{
    document doc;
    model_spec cheap;
    cheap.quality = 0.6;
    cheap.versions[version_id{"cheap-1"}].cost_per_1k_output = 1;
    model_spec good;
    good.quality = 0.95;
    good.versions[version_id{"good-1"}].cost_per_1k_output = 10;
    doc.models[model_id{"cheap"}] = cheap;
    doc.models[model_id{"good"}] = good;
    team_spec team;
    team.token_sha256 = sha256_hex(team_token);
    team.allowed = {"cheap", "good"};
    doc.teams[team_id{"test"}] = team;
    route_spec route;
    route.steps = {model_id{"good"}};
    route.quality_target = 0.9;
    route.deadline = 30s;
    route.first_token = 1s;
    doc.routes["report"] = route;
    doc.services["registry"].calls["post"] = {"POST", "/post", false};
    doc.services["registry"].calls["read"] = {"GET", "/read", true};
    const auto add = [&doc](const std::string& name, upstream_kind kind,
                            const std::string& domain) {
        upstream_spec spec;
        spec.kind = kind;
        spec.address = address_of(name);
        spec.failure_domain = failure_domain_id{domain};
        spec.region = region_id{"r"};
        spec.slots = 8;
        if (kind == upstream_kind::engine) {
            spec.versions = {version_id{"cheap-1"}, version_id{"good-1"}};
        }
        else {
            spec.service = "registry";
        }
        doc.upstreams[upstream_id{name}] = spec;
    };
    for (const std::string domain : {"a", "b"}) {
        add("engine-" + domain + "1", upstream_kind::engine, domain);
        add("engine-" + domain + "2", upstream_kind::engine, domain);
        add("service-" + domain, upstream_kind::service, domain);
    }
    return doc;
}

caller_request test_chat(const std::string& model, bool stream)
{
    caller_request out;
    out.kind = caller_request_kind::chat;
    out.model = model;
    out.stream = stream;
    out.body = std::make_shared<const nlohmann::json>(nlohmann::json::object());
    out.prompt_tokens = 10;
    out.prefix_hashes = {1};
    return out;
}

caller_request test_call(const std::string& call, const std::string& payload)
{
    caller_request out;
    out.kind = caller_request_kind::service_call;
    out.service = "registry";
    out.call = call;
    out.payload = payload;
    out.content_type = "text/plain";
    return out;
}

} // namespace wagtailhitch
