#pragma once

#include "base/digest.hpp"
#include "base/metrics.hpp"
#include "config/change.hpp"
#include "node/node_core.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Several node_cores under one paused clock, joined by in-memory fakes of the log, the peers'
// network and the upstreams. For tests only.
//
//   test_deployment net{{"a1", "a2"}};
//   net.submit(test_document());
//   net.run_for(5s);
//   auto& answer = net.call("a1", chat("question"));
//   net.run_for(1s);
//
// Faults: a VM may be killed, frozen or disconnected; the log may be unreachable or lose its
// replies; an upstream may accept work without answering.

namespace wagtailhitch {

/// What a caller has received.
struct test_answer {
    bool started{false};
    bool ended{false};
    std::string content;
    std::string version;
    std::map<std::string, std::string> headers;
    std::optional<error> failure;
    unsigned status{0};
};

/// One call that an upstream ran.
struct test_execution {
    upstream_id upstream;
    version_id version;
    std::string payload;
    std::string key;
};

class test_deployment {
public:
    explicit test_deployment(const std::vector<std::string>& vms);

    // Commands.
    void submit(const document& target);
    void run_for(duration time);
    test_answer& call(const std::string& vm, caller_request request);
    void disconnect_caller(const std::string& vm, caller_token caller);
    void kill(const std::string& vm);
    void restart(const std::string& vm);
    void freeze(const std::string& vm, bool frozen);
    void stop(const std::string& vm);

    // Faults.
    bool log_unreachable{false};
    bool lose_log_replies{false};          ///< appends take effect, their replies are lost
    std::vector<upstream_id> silent;       ///< accept work and never answer
    std::vector<upstream_id> unreachable;  ///< refuse connections
    std::map<upstream_id, duration> quiet; ///< refuse work and ask for quiet for this time
    std::vector<upstream_id> leaving;      ///< say so in their answers
    std::vector<version_id> failing;       ///< versions whose attempts fail before the first token
    std::vector<std::string> cut_off;      ///< VMs without peers and log
    std::uint64_t break_stream_after{0};   ///< tokens after which the next stream breaks once
    duration service_time{20ms};

    std::vector<upstream_id> refused_while_quiet; ///< one entry a request

    // Queries.
    [[nodiscard]] const std::vector<log_record>& stream(const std::string& name)
    {
        return streams_[name];
    }
    [[nodiscard]] const std::vector<test_execution>& executions() const { return executions_; }
    [[nodiscard]] bool has_stopped(const std::string& vm) const { return nodes_.at(vm).stopped; }
    [[nodiscard]] const published_state& state(const std::string& vm) const
    {
        return nodes_.at(vm).published;
    }
    [[nodiscard]] std::uint64_t counter_of(const std::string& vm, const std::string& name,
                                           const metric_labels& labels = {});
    /// Records of all streams.
    [[nodiscard]] std::size_t records_written() const;
    [[nodiscard]] revision submitted_revision() const { return revision_; }
    [[nodiscard]] time_point now() const { return clock_.now(); }
    [[nodiscard]] std::size_t peer_bytes(const std::string& vm) const
    {
        return nodes_.at(vm).peer_bytes;
    }

private:
    struct timed_input {
        time_point at;
        std::string vm;
        incarnation run{0};
        input message;
    };
    struct generation {
        std::uint64_t tokens{0};
        version_id version;
    };
    struct test_node {
        std::unique_ptr<metrics> registry;
        std::unique_ptr<node_core> core;
        process_id self;
        bool alive{false};
        bool frozen{false};
        bool stopped{false};
        published_state published;
        std::map<std::string, log_offset> follows;
        std::map<std::string, log_offset> told;
        std::size_t peer_bytes{0};
    };

    void start(const std::string& vm);
    void step();
    void deliver(const std::string& vm, const input& message);
    void carry_out(const std::string& vm, std::vector<output>& outputs);
    void feed_log(const std::string& vm, test_node& node);
    void send_vm_list();
    void schedule_input(duration delay, const std::string& vm, input message);
    void run_attempt(const std::string& vm, const attempt_start& start);
    void append(const std::string& vm, const log_append& request);
    [[nodiscard]] bool is_isolated(const std::string& vm) const;
    test_answer* answer_for(const std::string& vm, caller_token caller);

    void on(const std::string& vm, const answer_start& out);
    void on(const std::string& vm, const answer_chunk& out);
    void on(const std::string& vm, const answer_end& out);
    void on(const std::string& vm, const answer_whole& out);
    void on(const std::string& vm, const answer_error& out);
    void on(const std::string& vm, const published_state& out);
    void on(const std::string& vm, const attempt_start& out);
    void on(const std::string& vm, const attempt_cancel& out);
    void on(const std::string& vm, const probe_upstream& out);
    void on(const std::string& vm, const upstream_order& out);
    void on(const std::string& vm, const log_append& out);
    void on(const std::string& vm, const log_follow& out);
    void on(const std::string& vm, const peer_send& out);
    void on(const std::string& vm, const stopped& out);

    manual_clock clock_;
    operator_key operator_ = generate_operator_key();
    std::map<std::string, test_node> nodes_;
    std::map<std::string, std::vector<log_record>> streams_;
    std::vector<timed_input> pending_;
    std::map<std::pair<std::string, caller_token>, test_answer> answers_;
    std::map<std::string, generation> generations_;
    std::vector<test_execution> executions_;
    std::shared_ptr<const document> submitted_ = std::make_shared<document>();
    revision revision_{0};
    caller_token next_caller_{1};
    incarnation next_run_{1};
    std::uint64_t next_submission_{1};
    std::uint64_t next_sequence_{1};
    time_point next_vm_list_;
};

/// A document with a cheap and a good model, one engine each per failure domain, and a service.
document test_document();

/// A chat request of the test team.
caller_request test_chat(const std::string& model, bool stream = false);

/// A call of the test service's call "post", which is not idempotent, or "read", which is.
caller_request test_call(const std::string& call, const std::string& payload);

} // namespace wagtailhitch
