#include "net/peer_transport.hpp"

#include "base/metrics.hpp"
#include "net/peer_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_set>

namespace wagtailhitch {

namespace asio = boost::asio;
using boost_error = boost::system::error_code;
using detail::peer_connection;
using detail::peer_connection_ptr;
using detail::peer_role;

namespace {

constexpr std::chrono::milliseconds accept_retry_delay{100};

time_point clock_now()
{
    return time_point{std::chrono::steady_clock::now()};
}

} // namespace

struct peer_transport::state : detail::peer_host, std::enable_shared_from_this<state> {
    /// State of one peer. Frames wait in `waiting` until a connection is authenticated.
    struct peer_entry {
        std::string address;
        peer_connection_ptr current;
        peer_connection_ptr connecting;
        std::deque<std::string> waiting;
        std::size_t waiting_bytes{0};
        time_point next_connect_at{};
    };

    state(asio::io_context& context, peer_transport_settings values, input_sink sink,
          metrics& registry)
        : io{context}, limits{std::move(values)}, inputs{context, std::move(sink),
                                                         registry.count(
                                                             "peer_inputs_delayed_total")},
          acceptor{context.get_executor()}, sweep_timer{context},
          accept_timer{context}, sent{registry.count("peer_frames_sent_total")},
          bytes_sent{registry.count("peer_bytes_sent_total")}, received_frames{registry.count(
                                                                   "peer_frames_received_total")},
          dropped{registry.count("peer_frames_dropped_total")}, refused{registry.count(
                                                                    "peer_frames_refused_total")},
          unknown{registry.count("peer_frames_unknown_total")}, malformed{registry.count(
                                                                    "peer_frames_malformed_total")},
          rejected{registry.count("peer_handshakes_rejected_total")}
    {
    }

    // peer_host
    [[nodiscard]] const peer_transport_settings& settings() const override { return limits; }
    [[nodiscard]] input_sender& sender() override { return inputs; }
    void authenticated(const peer_connection_ptr& connection) override;
    void received(const peer_connection_ptr& connection, peer_frame frame) override;
    void count_malformed() override { malformed.add(); }
    void count_rejected() override { rejected.add(); }
    void closed(const peer_connection_ptr& connection, const error& reason) override;

    void accept();
    void on_accepted(boost_error ec, detail::tcp_socket socket);
    void send(peer_send&& message);
    void queue(peer_entry& to, std::string frame);
    void connect(const vm_id& vm, peer_entry& to);
    void set_current_connection(peer_entry& entry, const peer_connection_ptr& connection);
    void flush(peer_entry& entry);
    void drop_waiting(peer_entry& entry);
    [[nodiscard]] bool should_replace(const peer_connection& added,
                                      const peer_connection& current) const;
    void report_lost(const vm_id& vm, peer_entry& entry, const error& reason);
    void sweep();
    void shut_down();

    asio::io_context& io;
    peer_transport_settings limits;
    input_sender inputs;
    detail::tcp_acceptor acceptor;
    asio::steady_timer sweep_timer;
    asio::steady_timer accept_timer;
    counter& sent;
    counter& bytes_sent;
    counter& received_frames;
    counter& dropped;
    counter& refused;
    counter& unknown;
    counter& malformed;
    counter& rejected;
    std::string bound;
    std::uint64_t next_sequence{1};
    std::map<vm_id, peer_entry> peers;
    std::unordered_set<peer_connection_ptr> connections;
};

void peer_transport::state::accept()
{
    acceptor.async_accept([self = shared_from_this()](boost_error ec, detail::tcp_socket socket) {
        self->on_accepted(ec, std::move(socket));
    });
}

void peer_transport::state::on_accepted(boost_error ec, detail::tcp_socket socket)
{
    if (ec == asio::error::operation_aborted || !acceptor.is_open()) {
        return;
    }
    if (ec) {
        accept_timer.expires_after(accept_retry_delay);
        accept_timer.async_wait([self = shared_from_this()](boost_error failure) {
            if (!failure) {
                self->accept();
            }
        });
        return;
    }
    if (connections.size() < limits.connection_limit) {
        auto connection = std::make_shared<peer_connection>(*this, std::move(socket),
                                                            peer_role::server, std::nullopt);
        connections.insert(connection);
        connection->begin();
    }
    else {
        rejected.add();
    }
    accept();
}

void peer_transport::state::send(peer_send&& message)
{
    static const nlohmann::json no_body = nullptr;
    std::string frame = detail::encode_frame(limits.self, next_sequence++, message.kind,
                                             message.body ? *message.body : no_body);
    if (frame.size() > limits.frame_limit || message.to == limits.self.vm) {
        dropped.add();
        return;
    }
    peer_entry& to = peers[message.to];
    if (!message.address.empty()) {
        to.address = message.address;
    }
    queue(to, std::move(frame));
    if (!to.current && !to.connecting && clock_now() >= to.next_connect_at) {
        connect(message.to, to);
    }
}

void peer_transport::state::queue(peer_entry& to, std::string frame)
{
    const std::size_t n = frame.size();
    if (to.current) {
        if (!to.current->send(std::move(frame))) {
            dropped.add();
            return;
        }
        sent.add();
        bytes_sent.add(n);
        return;
    }
    if (to.waiting.size() >= limits.queue_limit || to.waiting_bytes + n > limits.queue_bytes) {
        dropped.add();
        return;
    }
    to.waiting_bytes += n;
    to.waiting.push_back(std::move(frame));
}

void peer_transport::state::connect(const vm_id& vm, peer_entry& to)
{
    to.connecting = std::make_shared<peer_connection>(*this, detail::tcp_socket{io.get_executor()},
                                                      peer_role::client, vm);
    connections.insert(to.connecting);
    const auto connection = to.connecting;
    connection->connect(to.address);
}

bool peer_transport::state::should_replace(const peer_connection& added,
                                           const peer_connection& current) const
{
    if (added.peer().process.run != current.peer().process.run) {
        return added.peer().process.run > current.peer().process.run;
    }
    if (!current.recently_active(clock_now()) || added.role() == current.role()) {
        return true;
    }
    // Both sides connected at the same time; both keep the connection opened by the lower VM id.
    const bool opened_here = added.role() == peer_role::client;
    return opened_here == (limits.self.vm < added.peer().process.vm);
}

void peer_transport::state::authenticated(const peer_connection_ptr& connection)
{
    const vm_id& vm = connection->peer().process.vm;
    peer_entry& entry = peers[vm];
    if (entry.connecting == connection) {
        entry.connecting.reset();
    }
    const time_point now = clock_now();
    if (vm == limits.self.vm || (entry.current && !should_replace(*connection, *entry.current))) {
        connection->retire(now + limits.retire_delay);
        return;
    }
    if (entry.current) {
        entry.current->retire(now + limits.retire_delay);
    }
    set_current_connection(entry, connection);
}

void peer_transport::state::set_current_connection(peer_entry& entry,
                                                   const peer_connection_ptr& connection)
{
    const process_id& peer = connection->peer().process;
    const bool known = entry.current && entry.current->peer().process == peer;
    entry.current = connection;
    if (!known) {
        LOG(INFO) << "Connected to VM " << peer.vm.value << ".";
        inputs.send(peer_connected{peer, entry.address});
    }
    // Posted, because the session is still processing the handshake.
    asio::post(io, [self = shared_from_this(), vm = peer.vm] { self->flush(self->peers[vm]); });
}

void peer_transport::state::flush(peer_entry& entry)
{
    if (!entry.current) {
        return;
    }
    for (std::string& frame : std::exchange(entry.waiting, {})) {
        queue(entry, std::move(frame));
    }
    entry.waiting_bytes = 0;
}

void peer_transport::state::received(const peer_connection_ptr& /*connection*/, peer_frame frame)
{
    received_frames.add();
    const bool known = limits.kinds.empty() || std::find(limits.kinds.begin(), limits.kinds.end(),
                                                         frame.kind) != limits.kinds.end();
    if (!known) {
        unknown.add();
        return;
    }
    if (!inputs.offer(std::move(frame))) {
        refused.add();
    }
}

void peer_transport::state::closed(const peer_connection_ptr& connection, const error& reason)
{
    connections.erase(connection);
    const vm_id vm = connection->expected().value_or(connection->peer().process.vm);
    const auto it = peers.find(vm);
    if (it == peers.end()) {
        return;
    }
    peer_entry& entry = it->second;
    if (entry.connecting == connection) {
        entry.connecting.reset();
        if (!entry.current) {
            report_lost(vm, entry, reason);
        }
        return;
    }
    if (entry.current != connection) {
        return;
    }
    entry.current.reset();
    if (connection->is_idle(clock_now())) {
        return;
    }
    report_lost(vm, entry, reason);
    if (!entry.address.empty() && !entry.connecting) {
        // A failed connection does not imply that a new one fails.
        connect(vm, entry);
    }
}

void peer_transport::state::report_lost(const vm_id& vm, peer_entry& entry, const error& reason)
{
    entry.next_connect_at = clock_now() + limits.reconnect_delay;
    drop_waiting(entry);
    LOG_EVERY_N(INFO, 100) << "Lost VM " << vm.value << ": " << reason.detail;
    inputs.send(peer_lost{vm, reason});
}

void peer_transport::state::drop_waiting(peer_entry& entry)
{
    dropped.add(entry.waiting.size());
    entry.waiting.clear();
    entry.waiting_bytes = 0;
}

void peer_transport::state::sweep()
{
    sweep_timer.expires_after(limits.sweep_interval);
    sweep_timer.async_wait([self = shared_from_this()](boost_error ec) {
        if (ec) {
            return;
        }
        const time_point now = clock_now();
        const std::vector<peer_connection_ptr> all{self->connections.begin(),
                                                   self->connections.end()};
        for (const auto& it : all) {
            it->sweep(now);
        }
        for (auto& [vm, entry] : self->peers) {
            const bool wanted = !entry.waiting.empty() && !entry.current && !entry.connecting;
            if (wanted && now >= entry.next_connect_at) {
                self->connect(vm, entry);
            }
        }
        self->sweep();
    });
}

void peer_transport::state::shut_down()
{
    boost_error ignored;
    acceptor.close(ignored);
    sweep_timer.cancel();
    accept_timer.cancel();
    for (const auto& it : connections) {
        it->close_without_report();
    }
    connections.clear();
    peers.clear();
}

peer_transport::peer_transport(asio::io_context& io, peer_transport_settings settings,
                               input_sink sink, metrics& registry)
    : state_{std::make_shared<state>(io, std::move(settings), std::move(sink), registry)}
{
}

peer_transport::~peer_transport()
{
    state_->shut_down();
}

expected<void> peer_transport::start()
{
    if (auto bound = detail::listen_on(state_->acceptor, state_->limits.address); !bound) {
        return bound;
    }
    state_->bound = detail::to_string(state_->acceptor.local_endpoint());
    state_->accept();
    state_->sweep();
    return {};
}

std::string peer_transport::address() const
{
    return state_->bound;
}

void peer_transport::handle(peer_send&& message)
{
    state_->send(std::move(message));
}

} // namespace wagtailhitch
