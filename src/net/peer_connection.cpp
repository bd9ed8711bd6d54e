#include "net/peer_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace wagtailhitch::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t read_size = std::size_t{64} * 1024;
/// Before it is authenticated, the other side may send handshake messages only.
constexpr std::size_t handshake_frame_limit = 1024;

time_point clock_now()
{
    return time_point{std::chrono::steady_clock::now()};
}

} // namespace

peer_connection::peer_connection(peer_host& host, tcp_socket socket, peer_role role,
                                 std::optional<vm_id> expected_vm)
    : host_{host}, socket_{std::move(socket)}, role_{role}, expected_{std::move(expected_vm)},
      handshake_{role, peer_identity{host.settings().self, host.settings().failure_domain},
                 host.settings().cluster_key, random_nonce(), expected_},
      channel_{role, {[this](std::string_view bytes) { return on_channel_data(bytes); }}},
      splitter_{handshake_frame_limit},
      input_(read_size, '\0'), deadline_{clock_now() + host.settings().connect_timeout},
      last_received_at_{clock_now()}, last_ping_at_{last_received_at_}, last_frame_at_{
                                                                            last_received_at_}
{
}

void peer_connection::connect(const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        close(error_code::peer_unavailable, endpoint.error().detail);
        return;
    }
    socket_.async_connect(*endpoint, [self = shared_from_this()](boost_error ec) {
        if (self->closed_) {
            return;
        }
        if (ec) {
            self->close(error_code::peer_unavailable, ec.message());
            return;
        }
        self->begin();
    });
}

void peer_connection::begin()
{
    boost_error ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    last_received_at_ = clock_now();
    if (const auto greeting = handshake_.opening()) {
        channel_.send(with_length(*greeting));
    }
    write();
    read();
}

bool peer_connection::send(std::string frame)
{
    const auto& limits = host_.settings();
    const bool fits = channel_.queued_messages() < limits.queue_limit &&
                      channel_.queued_bytes() + frame.size() <= limits.queue_bytes;
    if (!ready() || !fits) {
        return false;
    }
    last_frame_at_ = clock_now();
    channel_.send(std::move(frame));
    write();
    return true;
}

void peer_connection::read()
{
    if (closed_) {
        return;
    }
    if (host_.sender().congested()) {
        // While nothing is read, silence is no sign that the other side has failed.
        last_received_at_ = clock_now();
        host_.sender().when_uncongested([self = shared_from_this()] { self->read(); });
        return;
    }
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_read(ec, n); });
}

void peer_connection::on_read(boost_error ec, std::size_t n)
{
    if (closed_) {
        return;
    }
    if (ec) {
        close(error_code::peer_unavailable, ec.message());
        return;
    }
    last_received_at_ = clock_now();
    feeding_ = true;
    const bool open = channel_.feed(std::string_view{input_}.substr(0, n));
    feeding_ = false;
    if (!open) {
        const bool rejected = !rejection_.detail.empty();
        close(rejected ? rejection_.code : error_code::peer_unavailable,
              rejected ? rejection_.detail : "The peer ended the connection.");
        return;
    }
    write();
    read();
}

bool peer_connection::on_channel_data(std::string_view bytes)
{
    const bool taken =
        splitter_.feed(bytes, [this](std::string_view content) { return handle_frame(content); });
    if (!taken && rejection_.detail.empty()) {
        reject("A frame exceeds the size limit.");
    }
    return taken;
}

void peer_connection::reject(const std::string& why)
{
    host_.count_malformed();
    rejection_ = error{error_code::peer_unavailable, step::peer, {}, run_state::not_run, why, {}};
}

bool peer_connection::handle_frame(std::string_view content)
{
    if (!handshake_.done()) {
        return handle_handshake_frame(content);
    }
    auto frame = decode_frame(content);
    if (!frame || frame->from.vm != peer().process.vm) {
        reject("A frame is malformed or names another sender.");
        return false;
    }
    frame->failure_domain = peer().failure_domain;
    last_frame_at_ = last_received_at_;
    host_.received(shared_from_this(), std::move(*frame));
    return true;
}

bool peer_connection::handle_handshake_frame(std::string_view content)
{
    const auto reply = handshake_.take(content);
    if (!reply) {
        host_.count_rejected();
        rejection_ = reply.error();
        return false;
    }
    if (*reply) {
        channel_.send(with_length(**reply));
    }
    if (handshake_.done()) {
        splitter_.set_limit(host_.settings().frame_limit);
        host_.authenticated(shared_from_this());
    }
    return true;
}

void peer_connection::write()
{
    // The session must not be asked for output within feed(); on_read() writes afterwards.
    if (writing_ || feeding_ || closed_) {
        return;
    }
    output_ = channel_.take_output();
    if (output_.empty()) {
        return;
    }
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](boost_error ec, std::size_t /*n*/) { self->on_written(ec); });
}

void peer_connection::on_written(boost_error ec)
{
    writing_ = false;
    if (closed_) {
        return;
    }
    if (ec) {
        close(error_code::peer_unavailable, ec.message());
        return;
    }
    write();
}

bool peer_connection::is_idle(time_point now) const
{
    return now - last_frame_at_ >= host_.settings().idle_timeout / 2;
}

bool peer_connection::recently_active(time_point now) const
{
    const auto& limits = host_.settings();
    return now - last_received_at_ < limits.ping_interval + limits.ping_interval / 2;
}

void peer_connection::sweep(time_point now)
{
    const auto& limits = host_.settings();
    if (!handshake_.done()) {
        if (now >= deadline_) {
            close(error_code::peer_unavailable, "The peer did not authenticate in time.");
        }
        return;
    }
    if (now - last_received_at_ >= limits.ping_timeout) {
        close(error_code::peer_unavailable, "The peer does not answer pings.");
        return;
    }
    if (retiring() ? now >= retire_at_ : now - last_frame_at_ >= limits.idle_timeout) {
        close(error_code::peer_unavailable, "The connection is no longer used.");
        return;
    }
    if (now - last_ping_at_ >= limits.ping_interval) {
        last_ping_at_ = now;
        channel_.ping();
        write();
    }
}

void peer_connection::close(error_code code, const std::string& why)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost_error ignored;
    socket_.close(ignored);
    const vm_id& vm = handshake_.done() || !expected_ ? peer().process.vm : *expected_;
    host_.closed(shared_from_this(),
                 error{code, step::peer, vm.value, run_state::outcome_unknown, why, {}});
}

void peer_connection::close_without_report()
{
    closed_ = true;
    boost_error ignored;
    socket_.close(ignored);
}

} // namespace wagtailhitch::detail
