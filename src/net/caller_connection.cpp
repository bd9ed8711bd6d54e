#include "net/caller_connection.hpp"

#include "net/caller_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace wagtailhitch::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Pipelined bytes that are buffered while an answer is due; further bytes stay in the kernel.
constexpr std::size_t pipeline_limit = std::size_t{64} * 1024;
/// Size limit of an answer that is buffered for a caller that does not stream.
constexpr std::size_t whole_answer_limit = std::size_t{8} * 1024 * 1024;
/// How long the rest of a rejected request is read and discarded. Closing with unread data would
/// send a TCP reset, and the caller could lose the refusal.
constexpr std::chrono::seconds linger_time{1};

time_point clock_now()
{
    return time_point{std::chrono::steady_clock::now()};
}

error parse_error(error_code code, std::string detail)
{
    return error{code, step::parse, {}, run_state::not_run, std::move(detail), {}};
}

error oversized_answer()
{
    return error{error_code::stream_broken,
                 step::stream,
                 {},
                 run_state::ran,
                 "The answer exceeds the size limit of an answer that is not streamed.",
                 {}};
}

} // namespace

caller_connection::caller_connection(caller_host& host, tcp_socket socket)
    : host_{host}, socket_{std::move(socket)}
{
}

void caller_connection::begin()
{
    next_request();
    read();
}

void caller_connection::begin_refused(const error& reason)
{
    next_request();
    read();
    refuse(reason, false);
    flush();
}

void caller_connection::next_request()
{
    const auto& limits = host_.settings();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits.header_limit));
    parser_->body_limit(limits.body_limit);
    phase_ = phase::idle;
    token_ = 0;
    answer_started_ = false;
    continue_sent_ = false;
    streamed_ = false;
    content_.clear();
    deadline_ = clock_now() + limits.idle_timeout;
}

void caller_connection::read()
{
    const bool full = phase_ == phase::answering && buffer_.size() >= pipeline_limit;
    if (reading_ || full || caller_finished_sending_ || phase_ == phase::closed) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(read_size),
        [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_read(ec, n); });
}

void caller_connection::on_read(boost_error ec, std::size_t n)
{
    reading_ = false;
    if (phase_ == phase::closed) {
        return;
    }
    if (ec) {
        const bool unsent = !writing_.empty() || !pending_.empty();
        caller_finished_sending_ = ec == asio::error::eof && phase_ != phase::answering && unsent;
        if (!caller_finished_sending_) {
            close();
        }
        return;
    }
    if (phase_ == phase::lingering) {
        read();
        return;
    }
    buffer_.commit(n);
    if (phase_ == phase::idle) {
        phase_ = phase::receiving;
        deadline_ = clock_now() + host_.settings().header_timeout;
    }
    process();
    flush();
    read();
}

void caller_connection::process()
{
    if (processing_) {
        return;
    }
    processing_ = true;
    const std::size_t limit = host_.settings().write_limit;
    while ((phase_ == phase::idle || phase_ == phase::receiving) && buffer_.size() > 0 &&
           !close_after_write_ && pending_.size() < limit) {
        if (!parse_request()) {
            break;
        }
        dispatch_request();
    }
    processing_ = false;
}

bool caller_connection::parse_request()
{
    if (phase_ == phase::idle) {
        phase_ = phase::receiving;
        deadline_ = clock_now() + host_.settings().header_timeout;
    }
    while (buffer_.size() > 0 && !parser_->is_done()) {
        boost_error ec;
        const std::size_t n = parser_->put(buffer_.data(), ec);
        buffer_.consume(n);
        if (ec && ec != http::error::need_more) {
            reject_malformed(ec);
            return false;
        }
        if (ec == http::error::need_more || n == 0) {
            break;
        }
    }
    if (!parser_->is_done() && parser_->is_header_done()) {
        send_continue();
    }
    return parser_->is_done();
}

void caller_connection::send_continue()
{
    if (continue_sent_ || parser_->get()[http::field::expect] != "100-continue") {
        return;
    }
    continue_sent_ = true;
    pending_ += "HTTP/1.1 100 Continue\r\n\r\n";
}

void caller_connection::reject_malformed(const boost_error& ec)
{
    const bool large = ec == http::error::body_limit || ec == http::error::header_limit;
    refuse(parse_error(large ? error_code::body_too_large : error_code::malformed_request,
                       "The request cannot be read: " + ec.message() + "."),
           false);
}

void caller_connection::dispatch_request()
{
    auto& message = parser_->get();
    keep_alive_ = message.keep_alive() && !host_.draining();
    chunked_ = message.version() >= 11;
    const std::string target{message.target()};
    const std::string_view path = std::string_view{target}.substr(0, target.find('?'));
    const std::string_view method = message.method_string();
    if (auto page = host_.page(method, path)) {
        append_response(page->status, page->content_type, page->body, {});
        return;
    }
    received_request received{
        method,
        path,
        [&message](std::string_view name) -> std::string_view { return message[name]; },
        {}};
    received.body = std::move(message.body());
    auto request = read_caller_request(std::move(received), host_.settings());
    if (!request) {
        refuse(request.error(), keep_alive_);
        return;
    }
    submit(std::move(*request));
}

void caller_connection::submit(caller_request&& request)
{
    streamed_ = request.stream;
    phase_ = phase::answering;
    const auto token = host_.submit(std::move(request), shared_from_this());
    if (!token) {
        refuse(token.error(), keep_alive_);
        return;
    }
    token_ = *token;
}

void caller_connection::refuse(const error& reason, bool keep_alive)
{
    host_.count_refusal(reason);
    keep_alive_ = keep_alive_ && keep_alive;
    pending_ += refusal_text(reason, keep_alive_);
    end_answer();
}

void caller_connection::append_response(unsigned status, std::string_view type,
                                        std::string_view body,
                                        const std::map<std::string, std::string>& headers)
{
    keep_alive_ = keep_alive_ && !host_.draining();
    pending_ += response_text(status, type, body, keep_alive_, headers);
    end_answer();
}

void caller_connection::end_answer()
{
    if (token_ != 0) {
        host_.release(token_);
        token_ = 0;
    }
    if (!keep_alive_ || host_.draining()) {
        close_after_write_ = true;
        phase_ = phase::lingering;
        deadline_ = clock_now() + host_.settings().write_timeout;
        return;
    }
    next_request();
}

void caller_connection::handle(answer_start&& message)
{
    start_ = std::move(message);
    answer_started_ = true;
    if (!streamed_) {
        return;
    }
    keep_alive_ = keep_alive_ && chunked_;
    stream_ = chat_stream_writer{start_.request, start_.version, chunked_};
    pending_ += stream_head(answer_headers(start_), chunked_);
    host_.flush_later(shared_from_this());
}

void caller_connection::handle(answer_chunk&& message)
{
    if (streamed_) {
        stream_.append_content(pending_, message.content);
        check_backlog();
        host_.flush_later(shared_from_this());
        return;
    }
    if (content_.size() + message.content.size() > whole_answer_limit) {
        const caller_token token = token_;
        handle(answer_error{token, oversized_answer()});
        host_.report_gone(token);
        return;
    }
    content_ += message.content;
}

void caller_connection::handle(answer_end&& message)
{
    if (streamed_) {
        stream_.append_end(pending_, message);
        end_answer();
    }
    else {
        auto headers = answer_headers(start_);
        headers["Wagtailhitch-Cost"] = cost_text(message.cost);
        append_response(200, "application/json",
                        completion_body(start_.request, start_.version, content_, message),
                        headers);
    }
    host_.flush_later(shared_from_this());
}

void caller_connection::handle(answer_whole&& message)
{
    append_response(message.status, message.content_type, message.payload, message.headers);
    host_.flush_later(shared_from_this());
}

void caller_connection::handle(answer_error&& message)
{
    if (streamed_ && answer_started_) {
        host_.count_refusal(message.reason);
        stream_.append_error(pending_, message.reason);
        keep_alive_ = false;
        end_answer();
    }
    else {
        refuse(message.reason, keep_alive_);
    }
    host_.flush_later(shared_from_this());
}

void caller_connection::check_backlog()
{
    if (pending_.size() <= host_.settings().write_limit) {
        return;
    }
    host_.count_slow_caller();
    close();
}

void caller_connection::flush()
{
    // Processes pipelined requests that waited for this answer before writing.
    process();
    if (phase_ != phase::closed && writing_.empty() && !pending_.empty()) {
        writing_.swap(pending_);
        written_ = 0;
        write_deadline_ = clock_now() + host_.settings().write_timeout;
        write();
    }
    else if (writing_.empty() && caller_finished_sending_) {
        close();
    }
    else if (writing_.empty() && close_after_write_) {
        on_output_written();
    }
    read();
}

void caller_connection::write()
{
    socket_.async_write_some(
        asio::buffer(writing_.data() + written_, writing_.size() - written_),
        [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_written(ec, n); });
}

void caller_connection::on_written(boost_error ec, std::size_t n)
{
    if (phase_ == phase::closed) {
        return;
    }
    if (ec) {
        close();
        return;
    }
    written_ += n;
    write_deadline_ = clock_now() + host_.settings().write_timeout;
    if (written_ < writing_.size()) {
        write();
        return;
    }
    writing_.clear();
    flush();
}

void caller_connection::on_output_written()
{
    if (phase_ == phase::lingering) {
        close_after_write_ = false;
        linger();
    }
}

void caller_connection::linger()
{
    boost_error ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    buffer_.consume(buffer_.size());
    deadline_ = clock_now() + linger_time;
    if (ec) {
        close();
    }
}

void caller_connection::close_when_idle()
{
    if (phase_ == phase::idle && !busy()) {
        close();
    }
    // Other connections close after their answer, because the host is draining.
}

void caller_connection::sweep(time_point now)
{
    if (phase_ == phase::closed) {
        return;
    }
    if (!writing_.empty() && now >= write_deadline_) {
        host_.count_slow_caller();
        close();
        return;
    }
    if (phase_ == phase::answering || now < deadline_ || !writing_.empty()) {
        return;
    }
    if (phase_ == phase::receiving) {
        host_.count_slow_caller();
        refuse(parse_error(error_code::malformed_request,
                           "The request was not complete before the deadline."),
               false);
        flush();
        return;
    }
    close();
}

void caller_connection::close()
{
    if (phase_ == phase::closed) {
        return;
    }
    const auto self = shared_from_this();
    phase_ = phase::closed;
    boost_error ignored;
    socket_.close(ignored);
    if (token_ != 0) {
        host_.report_gone(std::exchange(token_, 0));
    }
    host_.closed(self);
}

void caller_connection::close_without_report()
{
    phase_ = phase::closed;
    boost_error ignored;
    socket_.close(ignored);
}

} // namespace wagtailhitch::detail
