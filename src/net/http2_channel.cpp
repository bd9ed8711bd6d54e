#include "net/http2_channel.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <deque>
#include <new>

namespace wagtailhitch::detail {

namespace {

constexpr std::int32_t window_bytes = 1024 * 1024;
constexpr std::uint32_t header_list_bytes = 4096;
constexpr std::size_t output_batch_bytes = std::size_t{64} * 1024;
constexpr std::string_view frames_path = "/v1/frames";

nghttp2_nv header(std::string_view name, std::string_view value)
{
    // nghttp2 copies both unless flags say otherwise; its interface lacks const, hence the casts.
    return {const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(name.data())),
            const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(value.data())),
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view as_string_view(const std::uint8_t* data, std::size_t n)
{
    return {reinterpret_cast<const char*>(data), n};
}

struct session_deleter {
    void operator()(nghttp2_session* it) const { nghttp2_session_del(it); }
};

} // namespace

struct http2_channel::state {
    state(peer_role which, http2_hooks callbacks) : role{which}, hooks{std::move(callbacks)} {}

    void open();
    void open_client();
    void resume() const;
    nghttp2_data_provider body_provider();
    ssize_t copy_body(std::uint8_t* to, std::size_t n, std::uint32_t* flags);
    int on_header(const nghttp2_frame& frame, std::string_view name, std::string_view value);
    int on_frame(const nghttp2_frame& frame);

    peer_role role;
    http2_hooks hooks;
    std::unique_ptr<nghttp2_session, session_deleter> session;
    std::deque<std::string> queue;
    std::size_t front_offset{0};
    std::size_t queued{0};
    std::int32_t stream{-1};
    bool path_matches{false};
    bool method_matches{false};
    bool status_matches{false};
    bool ended{false};
};

namespace {

http2_channel::state& state_of(void* user_data)
{
    return *static_cast<http2_channel::state*>(user_data);
}

ssize_t read_body_callback(nghttp2_session* /*session*/, std::int32_t /*stream*/, std::uint8_t* to,
                           std::size_t n, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                           void* user_data)
{
    return state_of(user_data).copy_body(to, n, flags);
}

int on_header_callback(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                       const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                       std::size_t value_size, std::uint8_t /*flags*/, void* user_data)
{
    return state_of(user_data).on_header(*frame, as_string_view(name, name_size),
                                         as_string_view(value, value_size));
}

int on_frame_callback(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user_data)
{
    return state_of(user_data).on_frame(*frame);
}

int on_data_callback(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                     const std::uint8_t* data, std::size_t n, void* user_data)
{
    auto& self = state_of(user_data);
    if (stream != self.stream || !self.hooks.on_bytes(as_string_view(data, n))) {
        self.ended = true;
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    return 0;
}

int on_close_callback(nghttp2_session* /*session*/, std::int32_t stream, std::uint32_t /*code*/,
                      void* user_data)
{
    auto& self = state_of(user_data);
    self.ended = self.ended || stream == self.stream;
    return 0;
}

} // namespace

void http2_channel::state::open()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) {
        throw std::bad_alloc{};
    }
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header_callback);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame_callback);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data_callback);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_close_callback);
    nghttp2_session* new_session = nullptr;
    const int failure = role == peer_role::client
                            ? nghttp2_session_client_new(&new_session, callbacks, this)
                            : nghttp2_session_server_new(&new_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    if (failure != 0) {
        throw std::bad_alloc{};
    }
    session.reset(new_session);
    const std::array<nghttp2_settings_entry, 4> values{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, header_list_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(new_session, NGHTTP2_FLAG_NONE, values.data(), values.size());
    nghttp2_session_set_local_window_size(new_session, NGHTTP2_FLAG_NONE, 0, window_bytes);
    if (role == peer_role::client) {
        open_client();
    }
}

nghttp2_data_provider http2_channel::state::body_provider()
{
    nghttp2_data_provider out{};
    out.source.ptr = this;
    out.read_callback = read_body_callback;
    return out;
}

void http2_channel::state::open_client()
{
    const std::array<nghttp2_nv, 4> headers{{header(":method", "POST"), header(":scheme", "http"),
                                             header(":authority", "wagtailhitch"),
                                             header(":path", frames_path)}};
    const nghttp2_data_provider body = body_provider();
    stream = nghttp2_submit_request(session.get(), nullptr, headers.data(), headers.size(), &body,
                                    nullptr);
    ended = stream < 0;
}

ssize_t http2_channel::state::copy_body(std::uint8_t* to, std::size_t n, std::uint32_t* /*flags*/)
{
    std::size_t done = 0;
    while (done < n && !queue.empty()) {
        const std::string& front = queue.front();
        const std::size_t part = std::min(n - done, front.size() - front_offset);
        std::copy_n(front.data() + front_offset, part, to + done);
        done += part;
        front_offset += part;
        if (front_offset == front.size()) {
            queue.pop_front();
            front_offset = 0;
        }
    }
    queued -= done;
    return done == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED) : static_cast<ssize_t>(done);
}

int http2_channel::state::on_header(const nghttp2_frame& frame, std::string_view name,
                                    std::string_view value)
{
    if (frame.hd.type != NGHTTP2_HEADERS) {
        return 0;
    }
    path_matches = path_matches || (name == ":path" && value == frames_path);
    method_matches = method_matches || (name == ":method" && value == "POST");
    status_matches = status_matches || (name == ":status" && value == "200");
    return 0;
}

int http2_channel::state::on_frame(const nghttp2_frame& frame)
{
    if (frame.hd.type == NGHTTP2_GOAWAY) {
        ended = true;
        return 0;
    }
    const bool ends = (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
                      (frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA);
    ended = ended || (ends && frame.hd.stream_id == stream);
    if (frame.hd.type != NGHTTP2_HEADERS) {
        return 0;
    }
    if (role == peer_role::client) {
        ended = ended || !status_matches;
        return 0;
    }
    if (stream >= 0 || !path_matches || !method_matches) {
        ended = true;
        return 0;
    }
    stream = frame.hd.stream_id;
    const std::array<nghttp2_nv, 1> headers{{header(":status", "200")}};
    const nghttp2_data_provider body = body_provider();
    const int failure =
        nghttp2_submit_response(session.get(), stream, headers.data(), headers.size(), &body);
    ended = ended || failure != 0;
    return 0;
}

void http2_channel::state::resume() const
{
    if (stream >= 0) {
        // Fails when no data is deferred; then there is nothing to resume.
        static_cast<void>(nghttp2_session_resume_data(session.get(), stream));
    }
}

http2_channel::http2_channel(peer_role role, http2_hooks hooks)
    : state_{std::make_unique<state>(role, std::move(hooks))}
{
    state_->open();
}

http2_channel::~http2_channel() = default;

bool http2_channel::feed(std::string_view bytes)
{
    const ssize_t n = nghttp2_session_mem_recv(
        state_->session.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    return n == static_cast<ssize_t>(bytes.size()) && !state_->ended;
}

void http2_channel::send(std::string bytes)
{
    state_->queued += bytes.size();
    state_->queue.push_back(std::move(bytes));
    state_->resume();
}

void http2_channel::ping()
{
    nghttp2_submit_ping(state_->session.get(), NGHTTP2_FLAG_NONE, nullptr);
}

std::string http2_channel::take_output()
{
    std::string out;
    while (out.size() < output_batch_bytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(state_->session.get(), &data);
        if (n <= 0) {
            state_->ended = state_->ended || n < 0;
            break;
        }
        out.append(as_string_view(data, static_cast<std::size_t>(n)));
    }
    return out;
}

std::size_t http2_channel::queued_bytes() const
{
    return state_->queued;
}

std::size_t http2_channel::queued_messages() const
{
    return state_->queue.size();
}

} // namespace wagtailhitch::detail
