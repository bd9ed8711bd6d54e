#include "node/runtime/run_node.hpp"

#include "base/metrics.hpp"
#include "config/settings.hpp"
#include "node/node_core.hpp"
#include "node/runtime/runtime.hpp"

#include <glog/logging.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>

namespace wagtailhitch {

namespace {

std::int64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

incarnation new_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

runtime_settings make_runtime_settings(const node_settings& node, const process_id& self)
{
    runtime_settings out;
    out.callers.address = node.caller_listen;
    out.callers.header_limit = node.limits.header_bytes;
    out.callers.body_limit = node.limits.body_bytes;
    out.callers.prompt_limit = node.limits.prompt_bytes;
    out.platform.log_address = node.platform.log;
    out.platform.vm_list_address = node.platform.vm_list;
    out.platform.rating_address = node.platform.ratings;
    out.platform.seed = self.run;
    out.peers.address = node.peer_listen;
    out.peers.self = self;
    out.peers.failure_domain = node.failure_domain;
    out.peers.cluster_key = node.cluster_key;
    out.peers.frame_limit = node.limits.peer_frame_bytes;
    out.ring_entries = node.limits.ring_entries;
    out.handle_signals = true;
    return out;
}

core_settings make_core_settings(const node_settings& node, const process_id& self,
                                 const std::string& peer_address)
{
    core_settings out;
    out.self = self;
    out.peer_address = peer_address;
    out.failure_domain = node.failure_domain;
    out.region = node.region;
    out.cluster_key = node.cluster_key;
    out.session_key = node.session_key;
    out.operator_keys = node.operator_keys;
    out.bill_buffer_bytes = node.limits.bill_buffer_bytes;
    out.log_retention = node.log_retention;
    out.seed = self.run;
    out.wall_ms = wall_milliseconds;
    return out;
}

bool write_port_file(const std::string& path, const std::string& address)
{
    if (path.empty()) {
        return true;
    }
    std::ofstream file{path};
    file << address.substr(address.rfind(':') + 1) << '\n';
    return file.good();
}

/// Builds the core after the listeners are bound, because it announces the bound address to peers.
/// Requests are refused until then.
class deferred_core {
public:
    void set(std::unique_ptr<node_core> core)
    {
        core_ = std::move(core);
        ready_.store(core_.get(), std::memory_order_release);
    }
    void handle(const input& in, time_point now, std::vector<output>& out)
    {
        if (auto* core = ready_.load(std::memory_order_acquire)) {
            core->handle(in, now, out);
            detect_stopped(out);
            return;
        }
        if (const auto* request = std::get_if<caller_request>(&in)) {
            out.emplace_back(answer_error{request->caller,
                                          {error_code::not_ready,
                                           step::configure,
                                           {},
                                           run_state::not_run,
                                           "The process is starting.",
                                           1s}});
        }
    }
    void tick(time_point now, std::vector<output>& out)
    {
        if (auto* core = ready_.load(std::memory_order_acquire)) {
            core->tick(now, out);
            detect_stopped(out);
        }
    }
    /// Valid after the runtime has ended.
    [[nodiscard]] bool restart() const { return restart_; }

private:
    void detect_stopped(const std::vector<output>& out)
    {
        for (const auto& item : out) {
            if (const auto* end = std::get_if<stopped>(&item)) {
                restart_ = end->restart;
            }
        }
    }

    std::unique_ptr<node_core> core_;
    std::atomic<node_core*> ready_{nullptr};
    bool restart_{false};
};

enum class end_reason { stopped, removed, not_started };

/// Runs one incarnation. Listeners keep their ports across a restart.
end_reason run_incarnation(node_settings& node)
{
    const process_id self{node.vm, new_incarnation()};
    metrics registry;
    deferred_core core;
    runtime threads{make_runtime_settings(node, self),
                    {[&core](const input& in, time_point now, std::vector<output>& out) {
                         core.handle(in, now, out);
                     },
                     [&core](time_point now, std::vector<output>& out) { core.tick(now, out); }},
                    registry};
    if (auto started = threads.start(); !started) {
        LOG(ERROR) << "The node did not start: " << started.error().detail << " ("
                   << started.error().peer << ")";
        return end_reason::not_started;
    }
    node.caller_listen = threads.caller_address();
    node.peer_listen = threads.peer_address();
    core.set(std::make_unique<node_core>(make_core_settings(node, self, node.peer_listen), registry,
                                         time_point{std::chrono::steady_clock::now()}));
    LOG(INFO) << "Node " << self.vm.value << " incarnation " << self.run << " serves callers at "
              << node.caller_listen << " and peers at " << node.peer_listen;
    const bool written = write_port_file(node.caller_port_file, node.caller_listen) &&
                         write_port_file(node.peer_port_file, node.peer_listen);
    if (!written) {
        LOG(ERROR) << "A port file could not be written.";
        threads.request_stop();
    }
    threads.wait();
    if (!written) {
        return end_reason::not_started;
    }
    return core.restart() ? end_reason::removed : end_reason::stopped;
}

} // namespace

int run_node(const node_settings& settings)
{
    auto node = settings;
    auto end = run_incarnation(node);
    while (end == end_reason::removed) {
        LOG(WARNING) << "Peers had removed this incarnation; node " << node.vm.value
                     << " continues under a new one.";
        end = run_incarnation(node);
    }
    LOG(INFO) << "Node " << node.vm.value << " has stopped.";
    return end == end_reason::stopped ? 0 : 1;
}

} // namespace wagtailhitch
