#include "net/http_client.hpp"

#include "net/endpoint.hpp"
#include "net/message_body.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace wagtailhitch::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost_error = boost::system::error_code;

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Interval at which idle connections are checked.
constexpr duration expiry_interval = 1s;
/// Framing bytes accepted for each byte of the body; a chunk of one byte has five.
constexpr std::size_t framing_per_body_byte = 8;

class exchange;

struct connection {
    connection(asio::io_context& io, std::shared_ptr<std::size_t> open_count)
        : open{std::move(open_count)}, socket{io.get_executor()}
    {
        ++*open;
    }
    ~connection() { --*open; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    std::shared_ptr<std::size_t> open; ///< connections of the client
    tcp_socket socket;
    time_point idle_since;
    duration idle_limit{};
};

using connection_ptr = std::unique_ptr<connection>;

/// Limits how long the system waits for a peer that does not respond at all.
void set_peer_timeouts(tcp_socket& socket, duration limit)
{
    if (limit <= duration{0}) {
        return;
    }
    const auto set = [&socket](int level, int name, int value) {
        // On failure the system's default stays in effect; a dead peer is then detected later.
        (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
    };
    constexpr int probes = 2;
    const auto whole_seconds = static_cast<int>(
        std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::seconds>(limit).count()));
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(to_milliseconds(limit)));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, whole_seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set(IPPROTO_TCP, TCP_KEEPCNT, probes);
}

/// The size has to be set before the connection is opened to bound the window that is offered.
void set_receive_buffer(tcp_socket& socket, const tcp::endpoint& peer, int bytes)
{
    if (bytes <= 0) {
        return;
    }
    boost_error ec;
    socket.open(peer.protocol(), ec);
    if (!ec) {
        // On failure the system's default stays in effect.
        socket.set_option(asio::socket_base::receive_buffer_size{bytes}, ec);
    }
}

/// The `timeout=N` value (seconds) of a Keep-Alive header, or nullopt.
std::optional<duration> keep_alive_timeout(std::string_view text)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = text.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(at + name.size());
    std::uint32_t value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds{value};
}

/// Used to prevent header injection: text after a line break in a header or target would be read
/// as further headers.
bool has_line_break(std::string_view text)
{
    return text.find_first_of("\r\n") != std::string_view::npos;
}

bool is_well_formed(const http_call& call)
{
    if (call.target.find_first_of("\r\n ") != std::string::npos || has_line_break(call.method) ||
        has_line_break(call.host)) {
        return false;
    }
    return std::none_of(call.headers.begin(), call.headers.end(), [](const auto& header) {
        return has_line_break(header.first) || has_line_break(header.second);
    });
}

std::string request_text(const http_call& call)
{
    std::string out;
    const std::size_t body_size = call.shared_body ? call.shared_body->size() : call.body.size();
    out.reserve(512 + call.body.size());
    out.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\nHost: ");
    out.append(call.host.empty() ? call.address : call.host).append("\r\n");
    for (const auto& [name, value] : call.headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    if (body_size > 0 || (call.method != "GET" && call.method != "HEAD")) {
        out.append("Content-Length: ").append(std::to_string(body_size)).append("\r\n");
    }
    out.append("\r\n");
    if (!call.shared_body) {
        out.append(call.body);
    }
    return out;
}

bool is_informational(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 199;
    return status >= first && status <= last;
}

/// Beast accepts any three digits. RFC 9110, section 15, defines no status outside this range.
bool is_valid_status(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

/// Beast joins a line that begins with white space to the field before it, which hides the field
/// that the line names. RFC 9112, section 5.2, lets a proxy discard such a response.
bool has_folded_line(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos ||
           lines.find("\n\t") != std::string_view::npos;
}

using response_parser = http::response_parser<message_body>;

/// Beast reads a body with another transfer coding up to the end of the connection, coded. Requests
/// accept no coding but chunks (RFC 9112, section 7.4).
bool has_unknown_transfer_coding(const response_parser::value_type& head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    return std::any_of(first, last,
                       [](const auto& field) { return !beast::iequals(field.value(), "chunked"); });
}

/// Does what parser.put() does, and also rejects heads that Beast accepts although they are
/// invalid. Returns after the head, so that only its lines are checked.
std::size_t put(response_parser& parser, asio::const_buffer bytes, boost_error& ec)
{
    const bool in_head = !parser.is_header_done();
    parser.eager(!in_head);
    const std::size_t n = parser.put(bytes, ec);
    if (!in_head || (ec && ec != http::error::need_more)) {
        return n;
    }
    // The parser takes whole fields only, hence a folded line together with the one before it.
    if (has_folded_line({static_cast<const char*>(bytes.data()), n})) {
        ec = http::error::bad_obs_fold;
    }
    else if (parser.is_header_done() && !is_valid_status(parser.get().result_int())) {
        ec = http::error::bad_status;
    }
    else if (parser.is_header_done() && has_unknown_transfer_coding(parser.get())) {
        ec = http::error::bad_transfer_encoding;
    }
    return n;
}

} // namespace

struct http_client::state : std::enable_shared_from_this<state> {
    state(asio::io_context& context, http_client_settings values, input_sender* inputs)
        : io{context}, settings{std::move(values)}, sender{inputs}, timer{context}
    {
    }

    [[nodiscard]] bool congested() const { return sender != nullptr && sender->congested(); }
    connection_ptr take_idle_connection(const std::string& address, duration max_idle);
    void keep_idle_connection(const std::string& address, connection_ptr conn);
    bool may_connect();
    void add_active(exchange* call);
    void schedule_sweep();
    void sweep();
    void close_expired_connections(time_point now);
    [[nodiscard]] duration idle_limit_of(const connection& conn) const
    {
        // The server measures its idle timeout from when it sent its response, which is earlier
        // than idle_since. Using half of the timeout leaves a margin for that.
        return std::min(settings.idle_timeout, conn.idle_limit / 2);
    }

    asio::io_context& io;
    http_client_settings settings;
    input_sender* sender;
    asio::steady_timer timer;
    std::uint64_t opened{0};
    std::shared_ptr<std::size_t> open{std::make_shared<std::size_t>(0)};
    time_point next_expiry{};
    bool closed{false};
    std::unordered_set<exchange*> active;
    std::unordered_map<std::string, std::vector<connection_ptr>> idle;
};

namespace {

time_point clock_now()
{
    return time_point{std::chrono::steady_clock::now()};
}

/// One request and its response on one connection.
class exchange final : public http_call_handle, public std::enable_shared_from_this<exchange> {
public:
    exchange(std::shared_ptr<http_client::state> owner, http_call call, http_hooks hooks);

    void begin();
    void cancel() override;
    void pause() override { paused_ = true; }
    void resume() override;
    /// Closes the connection when the deadline has passed; the pending operation then reports the
    /// timeout.
    void check_deadline(time_point now);

private:
    void connect();
    void on_connected(boost_error ec);
    void write();
    void fail_before_sending(const std::string& detail);
    void on_written(boost_error ec, std::size_t n);
    void read();
    void on_read(boost_error ec, std::size_t n);
    void on_end_of_file();
    void reset_parser();
    bool parse();
    bool parse_available();
    [[nodiscard]] bool exceeds_framing_limit() const;
    void report_header();
    void report_body();
    void complete();
    void fail(const std::string& detail);
    void mark_ended();

    std::shared_ptr<http_client::state> owner_;
    http_call call_;
    http_hooks hooks_;
    connection_ptr connection_;
    std::string request_text_;
    beast::flat_buffer buffer_;
    std::optional<response_parser> parser_;
    std::size_t received_bytes_{0};
    std::size_t body_bytes_{0};
    call_stage stage_{call_stage::connecting};
    time_point started_;
    time_point deadline_;
    bool written_{false};
    bool request_sent_{false}; ///< the whole request was written to the connection
    bool reset_{false};        ///< the connection failed while the request was being written
    bool timed_out_{false};
    bool withdrawn_{false};
    bool refused_{false};
    bool reused_{false};
    bool ended_{false};
    bool header_reported_{false};
    bool paused_{false};
    bool read_due_{false}; ///< once reading is resumed
};

exchange::exchange(std::shared_ptr<http_client::state> owner, http_call call, http_hooks hooks)
    : owner_{std::move(owner)}, call_{std::move(call)}, hooks_{std::move(hooks)}
{
    reset_parser();
}

void exchange::reset_parser()
{
    parser_.emplace();
    parser_->skip(call_.method == "HEAD");
    parser_->header_limit(static_cast<std::uint32_t>(owner_->settings.header_limit));
    if (call_.body_limit == 0) {
        parser_->body_limit(boost::none);
    }
    else {
        parser_->body_limit(call_.body_limit);
    }
}

void exchange::begin()
{
    started_ = clock_now();
    if (!is_well_formed(call_)) {
        asio::post(owner_->io, [self = shared_from_this()] {
            self->fail("The request has a line break or space in its target, or a line break in "
                       "its method or a header.");
        });
        return;
    }
    request_text_ = request_text(call_);
    connection_ = owner_->take_idle_connection(call_.address, call_.reuse_within);
    if (connection_) {
        reused_ = true;
        write();
        return;
    }
    connect();
}

void exchange::connect()
{
    stage_ = call_stage::connecting;
    deadline_ = std::min(clock_now() + owner_->settings.connect_timeout,
                         started_ + call_.first_byte_timeout);
    if (!owner_->may_connect()) {
        fail_before_sending("No descriptor is left for a connection.");
        return;
    }
    connection_ = std::make_unique<connection>(owner_->io, owner_->open);
    ++owner_->opened;
    const auto endpoint = parse_endpoint(call_.address);
    if (!endpoint) {
        asio::post(owner_->io, [self = shared_from_this(), detail = endpoint.error().detail] {
            self->fail(detail);
        });
        return;
    }
    set_receive_buffer(connection_->socket, *endpoint, owner_->settings.receive_buffer);
    connection_->socket.async_connect(
        *endpoint, [self = shared_from_this()](boost_error ec) { self->on_connected(ec); });
}

void exchange::on_connected(boost_error ec)
{
    if (ended_) {
        return;
    }
    if (ec) {
        refused_ = ec == asio::error::connection_refused;
        fail(ec.message());
        return;
    }
    connection_->socket.set_option(tcp::no_delay{true}, ec);
    set_peer_timeouts(connection_->socket, owner_->settings.unacknowledged_timeout);
    write();
}

void exchange::write()
{
    if (hooks_.may_send && !hooks_.may_send()) {
        fail_before_sending("The request was withdrawn before it was sent.");
        return;
    }
    stage_ = call_stage::sending;
    deadline_ = started_ + call_.first_byte_timeout;
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(request_text_),
        call_.shared_body ? asio::buffer(*call_.shared_body) : asio::const_buffer{}};
    // From here on the server may have received the request.
    written_ = true;
    asio::async_write(
        connection_->socket, parts,
        [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_written(ec, n); });
    read();
}

// Reports the failure later, since hooks must not run within http_client::start().
void exchange::fail_before_sending(const std::string& detail)
{
    withdrawn_ = true;
    connection_.reset();
    asio::post(owner_->io, [self = shared_from_this(), detail] { self->fail(detail); });
}

void exchange::on_written(boost_error ec, std::size_t n)
{
    if (ended_) {
        return;
    }
    if (ec && n == 0 && stage_ == call_stage::sending) {
        written_ = false;
        fail(ec.message());
        return;
    }
    if (ec) {
        // The server may have responded before it closed; the pending read reports what arrived.
        // The system reports a reset once, here, and the read then sees an end of file. A broken
        // pipe means that the server had ended its side before, so that its end of file is real.
        reset_ = ec != asio::error::broken_pipe;
        return;
    }
    request_sent_ = true;
    if (stage_ == call_stage::sending) {
        stage_ = call_stage::waiting;
    }
}

void exchange::read()
{
    if (ended_) {
        return;
    }
    if (paused_) {
        read_due_ = true;
        return;
    }
    if (owner_->congested()) {
        owner_->sender->when_uncongested([self = shared_from_this()] { self->read(); });
        return;
    }
    connection_->socket.async_read_some(
        buffer_.prepare(read_size),
        [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_read(ec, n); });
}

void exchange::resume()
{
    if (ended_ || !std::exchange(paused_, false)) {
        return;
    }
    deadline_ = clock_now() + call_.progress_timeout;
    if (std::exchange(read_due_, false)) {
        read();
    }
}

void exchange::on_read(boost_error ec, std::size_t n)
{
    if (ended_) {
        return;
    }
    if (ec == asio::error::eof) {
        // A write that has failed before may be queued behind this handler.
        asio::post(owner_->io, [self = shared_from_this()] { self->on_end_of_file(); });
        return;
    }
    if (ec) {
        fail(ec.message());
        return;
    }
    buffer_.commit(n);
    received_bytes_ += n;
    stage_ = call_stage::receiving;
    if (parse() && !ended_) {
        read();
    }
}

void exchange::on_end_of_file()
{
    if (ended_) {
        return;
    }
    if (reset_ && parser_->need_eof()) {
        fail("The connection was reset before the end of the response.");
        return;
    }
    boost_error ec;
    if (parser_->got_some()) {
        parser_->put_eof(ec);
    }
    if (parser_->is_done() && !ec) {
        complete();
        return;
    }
    fail(ec ? ec.message() : "The connection was closed before a response arrived.");
}

bool exchange::parse()
{
    if (!parse_available()) {
        return false;
    }
    report_header();
    report_body();
    if (!ended_ && parser_->is_done()) {
        complete();
    }
    if (!ended_ && exceeds_framing_limit()) {
        fail("The response has more bytes that belong to no body than are accepted.");
    }
    return !ended_;
}

// Informational responses (status 1xx) precede the response and are skipped.
bool exchange::parse_available()
{
    while (buffer_.size() > 0 && !parser_->is_done()) {
        boost_error ec;
        const std::size_t n = put(*parser_, buffer_.data(), ec);
        buffer_.consume(n);
        if (ec && ec != http::error::need_more) {
            fail(ec.message());
            return false;
        }
        if (parser_->is_done() && is_informational(parser_->get().result_int())) {
            reset_parser();
            continue;
        }
        if (ec == http::error::need_more || n == 0) {
            break;
        }
    }
    return true;
}

bool exchange::exceeds_framing_limit() const
{
    const http_client_settings& limits = owner_->settings;
    return received_bytes_ - body_bytes_ >
           limits.header_limit + limits.framing_limit + framing_per_body_byte * body_bytes_;
}

void exchange::report_header()
{
    if (ended_ || header_reported_ || !parser_->is_header_done()) {
        return;
    }
    header_reported_ = true;
    const auto& head = parser_->get();
    answer_head out;
    out.status = head.result_int();
    out.content_type = std::string{head[http::field::content_type]};
    out.request_id = std::string{head["X-Request-Id"]};
    out.retry_after = std::string{head[http::field::retry_after]};
    out.on_reused_connection = reused_;
    if (const auto length = parser_->content_length(); length && !parser_->is_done()) {
        out.body_length = *length;
    }
    for (const auto& field : head) {
        out.headers.emplace_back(field.name_string(), field.value());
    }
    connection_->idle_limit =
        keep_alive_timeout(head["Keep-Alive"]).value_or(owner_->settings.idle_timeout);
    if (hooks_.on_header) {
        hooks_.on_header(std::move(out));
    }
}

void exchange::report_body()
{
    if (ended_ || !header_reported_ || parser_->get().body().empty()) {
        return;
    }
    deadline_ = clock_now() + call_.progress_timeout;
    std::string data;
    data.swap(parser_->get().body());
    body_bytes_ += data.size();
    if (hooks_.on_data) {
        hooks_.on_data(data);
    }
}

void exchange::complete()
{
    if (ended_) {
        return;
    }
    const bool reusable = request_sent_ && parser_->keep_alive() && buffer_.size() == 0;
    mark_ended();
    if (reusable) {
        owner_->keep_idle_connection(call_.address, std::move(connection_));
    }
    const auto hooks = std::exchange(hooks_, {});
    hooks.on_end(nullptr);
}

void exchange::fail(const std::string& detail)
{
    if (ended_) {
        return;
    }
    mark_ended();
    const call_failure failure{
        stage_,     written_, timed_out_,
        withdrawn_, refused_, timed_out_ ? "The deadline passed without progress." : detail};
    connection_.reset();
    const auto hooks = std::exchange(hooks_, {});
    hooks.on_end(&failure);
}

void exchange::cancel()
{
    if (ended_) {
        return;
    }
    mark_ended();
    hooks_ = {};
    if (connection_) {
        boost_error ignored;
        connection_->socket.close(ignored);
    }
}

void exchange::mark_ended()
{
    ended_ = true;
    owner_->active.erase(this);
}

void exchange::check_deadline(time_point now)
{
    if (ended_ || timed_out_ || now < deadline_ || !connection_ || paused_ || owner_->congested()) {
        return;
    }
    timed_out_ = true;
    boost_error ignored;
    connection_->socket.close(ignored);
}

} // namespace

connection_ptr http_client::state::take_idle_connection(const std::string& address,
                                                        duration max_idle)
{
    const auto it = idle.find(address);
    if (it == idle.end()) {
        return nullptr;
    }
    const time_point now = clock_now();
    while (!it->second.empty()) {
        connection_ptr conn = std::move(it->second.back());
        it->second.pop_back();
        const duration limit = idle_limit_of(*conn);
        const duration idle_for = now - conn->idle_since;
        if (idle_for > limit || !is_open_without_unread_data(conn->socket)) {
            continue;
        }
        if (idle_for <= max_idle) {
            return conn;
        }
        // The most recently used connection is last, so all others have been idle for longer.
        it->second.push_back(std::move(conn));
        return nullptr;
    }
    idle.erase(it);
    return nullptr;
}

void http_client::state::keep_idle_connection(const std::string& address, connection_ptr conn)
{
    auto& kept = idle[address];
    if (closed || kept.size() >= settings.idle_per_address) {
        return;
    }
    conn->idle_since = clock_now();
    kept.push_back(std::move(conn));
}

// Idle connections are of less use than the call that needs one.
bool http_client::state::may_connect()
{
    if (!settings.may_connect || settings.may_connect()) {
        return true;
    }
    idle.clear();
    return settings.may_connect();
}

void http_client::state::add_active(exchange* call)
{
    const bool slow = active.empty();
    active.insert(call);
    if (slow) {
        schedule_sweep();
    }
}

void http_client::state::schedule_sweep()
{
    timer.expires_after(active.empty() ? expiry_interval : settings.sweep_interval);
    timer.async_wait([self = shared_from_this()](boost_error ec) {
        if (!ec) {
            self->sweep();
        }
    });
}

void http_client::state::sweep()
{
    const time_point now = clock_now();
    for (exchange* call : active) {
        call->check_deadline(now);
    }
    close_expired_connections(now);
    if (!active.empty() || !idle.empty()) {
        schedule_sweep();
    }
}

// Connections to servers that have left would otherwise stay open for good, since nothing takes
// them from the pool again.
void http_client::state::close_expired_connections(time_point now)
{
    if (now < next_expiry) {
        return;
    }
    next_expiry = now + expiry_interval;
    for (auto& [address, kept] : idle) {
        std::erase_if(kept, [&](const connection_ptr& conn) {
            return now - conn->idle_since > idle_limit_of(*conn);
        });
    }
    std::erase_if(idle, [](const auto& item) { return item.second.empty(); });
}

http_client::http_client(asio::io_context& io, http_client_settings settings, input_sender* sender)
    : state_{std::make_shared<state>(io, std::move(settings), sender)}
{
}

http_client::~http_client()
{
    state_->closed = true;
    state_->timer.cancel();
    for (exchange* call : std::vector<exchange*>{state_->active.begin(), state_->active.end()}) {
        call->cancel();
    }
    state_->idle.clear();
}

http_call_ptr http_client::start(http_call call, http_hooks hooks)
{
    auto out = std::make_shared<exchange>(state_, std::move(call), std::move(hooks));
    state_->add_active(out.get());
    out->begin();
    return out;
}

void http_client::close_idle_connections(const std::string& address)
{
    state_->idle.erase(address);
}

std::size_t http_client::open_connections() const
{
    return *state_->open;
}

std::uint64_t http_client::connections_opened() const
{
    return state_->opened;
}

} // namespace wagtailhitch::detail
