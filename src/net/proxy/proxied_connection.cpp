#include "net/proxy/proxied_connection.hpp"

#include "net/caller_text.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <utility>

namespace wagtailhitch::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Callers may reuse a connection for most of the declared idle timeout. This server closes it only
/// well after that, to leave closing to the caller.
constexpr int idle_timeout_factor = 2;
/// A connection without a request so far is not closed as idle before this age: its caller may have
/// sent a request that is on its way.
constexpr duration first_request_wait = 500ms;

/// A write buffer that had to grow beyond this is freed after the write.
constexpr std::size_t kept_capacity = std::size_t{64} * 1024;

std::string_view to_std(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// True when two HTTP parsers could interpret the framing differently (request smuggling).
bool is_ambiguous(const http::request_header<>& head)
{
    const bool has_transfer_encoding = head.count(http::field::transfer_encoding) > 0;
    const bool has_content_length = head.count(http::field::content_length) > 0;
    if (has_transfer_encoding && has_content_length) {
        return true;
    }
    if (head.count(http::field::content_length) > 1 || head.count(http::field::host) != 1) {
        return true;
    }
    return has_transfer_encoding &&
           !boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

} // namespace

proxied_connection::proxied_connection(proxy_server::state& owner, tcp_socket socket)
    : owner_{owner}, socket_{std::move(socket)},
      opened_at_{owner.context.clock()}, held_{owner.context.buffers, [this] { release_soon(); }},
      write_progress_at_{opened_at_}, waiting_since_{opened_at_}
{
}

request_limits proxied_connection::limits() const
{
    const auto& catalog = owner_.context.core.catalog();
    return catalog ? catalog->limits() : request_limits{};
}

void proxied_connection::begin()
{
    next_request();
}

void proxied_connection::set_deadline(duration wait)
{
    auto& deadlines = owner_.context.deadlines;
    deadlines.cancel(deadline_);
    deadline_ = deadlines.after(wait, [self = weak_from_this()] {
        const auto it = self.lock();
        if (!it || it->closed_ || it->answering_) {
            return;
        }
        const bool begun = it->parser_ && it->parser_->got_some();
        if (begun) {
            it->reject(408, "The request did not arrive in time.");
            return;
        }
        it->close();
    });
}

void proxied_connection::next_request()
{
    const request_limits bounds = limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
    parser_->body_limit(bounds.body_bytes);
    head_checked_ = false;
    body_bytes_ = 0;
    waiting_since_ = owner_.context.clock();
    set_deadline(bounds.idle_timeout * idle_timeout_factor);
    if (!inbound_.empty()) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->process(); });
        return;
    }
    read();
}

void proxied_connection::read()
{
    if (reading_ || closed_ || inbound_.size() > owner_.settings.read_ahead) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_read(ec, n); });
}

void proxied_connection::on_read(boost_error ec, std::size_t n)
{
    reading_ = false;
    if (closed_) {
        return;
    }
    if (ec == asio::error::operation_aborted && std::exchange(closing_when_idle_, false) &&
        (busy() || receiving())) {
        read();
        return;
    }
    if (ec) {
        close();
        return;
    }
    if (refused_) {
        discard(n);
        return;
    }
    inbound_.append(read_buffer_.data(), n);
    process();
    count_bytes();
}

void proxied_connection::process()
{
    if (closed_) {
        return;
    }
    if (answering_ || close_after_write_ || next_is_due_) {
        // Keeps reading during the request in progress, to detect that the caller disconnects.
        read();
        return;
    }
    const bool first_bytes = !parser_->got_some();
    if (!parse()) {
        return;
    }
    if (first_bytes && parser_->got_some() && !parser_->is_done()) {
        set_deadline(limits().header_timeout);
    }
    if (!parser_->is_done()) {
        read();
        return;
    }
    start_answer();
    read();
}

bool proxied_connection::parse()
{
    while (!inbound_.empty() && !parser_->is_done()) {
        boost_error ec;
        const std::size_t n = parser_->put(asio::buffer(inbound_), ec);
        inbound_.erase(0, n);
        if (parser_->is_header_done() && !head_checked_) {
            check_head();
            if (close_after_write_ || closed_) {
                return false;
            }
        }
        if (ec == http::error::need_more) {
            break;
        }
        if (ec) {
            const bool large = ec == http::error::body_limit;
            const bool long_head = ec == http::error::header_limit;
            reject(large ? 413 : long_head ? 431 : 400, ec.message());
            return false;
        }
        if (n == 0) {
            break;
        }
    }
    return true;
}

void proxied_connection::check_head()
{
    head_checked_ = true;
    const auto& head = parser_->get();
    if (is_ambiguous(head)) {
        reject(400, "The request's framing is ambiguous.");
        return;
    }
    // The body may take as long as a connection may be idle.
    set_deadline(limits().idle_timeout);
    if (boost::beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void proxied_connection::start_answer()
{
    answering_ = true;
    had_request_ = true;
    owner_.context.deadlines.cancel(deadline_);
    keep_alive_ = parser_->keep_alive();
    if (owner_.settings.page) {
        serve_page();
        return;
    }
    auto message = parser_->release();
    answer_framing body_framing;
    body_framing.chunked = message.version() >= 11;
    body_framing.head_only = message.method() == http::verb::head;
    answer_sink sink;
    const auto self = weak_from_this();
    sink.write = [self](std::string_view bytes) {
        if (const auto it = self.lock()) {
            it->write(bytes);
        }
    };
    sink.finish = [self] {
        if (const auto it = self.lock()) {
            it->answer_done();
        }
    };
    sink.closes = [self] {
        const auto it = self.lock();
        return !it || !it->keep_alive_ || it->owner_.draining;
    };
    sink.behind = [self] {
        const auto it = self.lock();
        return it && it->behind();
    };
    sink.abort = [self] {
        if (const auto it = self.lock()) {
            it->close_after_write_ = true;
            it->answer_done();
        }
    };
    std::string body = std::move(message.body());
    body_bytes_ = body.size();
    parser_.reset();
    exchange_ = std::make_shared<proxied_exchange>(owner_.context, std::move(message.base()),
                                                   std::move(body), body_framing, std::move(sink));
    const auto current = exchange_;
    current->start();
}

void proxied_connection::serve_page()
{
    const auto message = parser_->release();
    const std::string path{to_std(message.target())};
    const auto page = owner_.settings.page(to_std(message.method_string()), path)
                          .value_or(served_page{404, "text/plain", "There is no such page.\n"});
    std::string out;
    append_status_line(out, page.status);
    out += "Content-Type: " + page.content_type;
    out += "\r\nContent-Length: " + std::to_string(page.body.size());
    out += keep_alive_ ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
    out += page.body;
    write(out);
    answer_done();
}

void proxied_connection::reject(unsigned status, std::string_view why, std::string_view headers)
{
    owner_.context.counters
        .count("proxied_requests_rejected_total", {{"status", std::to_string(status)}})
        .add();
    owner_.context.log.write("request_rejected", {{"status", status}, {"detail", why}});
    std::string out;
    append_status_line(out, status);
    out += headers;
    out += "Content-Length: 0\r\nConnection: close\r\n\r\n";
    answering_ = true;
    close_after_write_ = true;
    refused_ = true;
    // The parser may be in use by a caller of this function.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->parser_.reset();
        self->inbound_ = {};
        self->count_bytes();
    });
    write(out);
    read();
}

void proxied_connection::write(std::string_view bytes)
{
    if (closed_) {
        return;
    }
    // The first write is exempt from the share: an answer that is ready is delivered.
    const std::size_t limit =
        writing_ ? std::min(owner_.settings.write_backlog, owner_.context.buffers.share())
                 : owner_.settings.write_backlog;
    pending_ += bytes;
    if (pending_.size() > limit) {
        owner_.context.counters.count("proxied_callers_slow_total").add();
        owner_.report_limit("write_backlog", pending_.size());
        close_at_once();
        return;
    }
    flush();
    count_bytes();
}

void proxied_connection::flush()
{
    if (writing_ || closed_) {
        return;
    }
    if (pending_.empty()) {
        if (close_after_write_ && refused_) {
            linger();
        }
        else if (close_after_write_) {
            close();
        }
        return;
    }
    writing_ = true;
    in_flight_.swap(pending_);
    in_flight_sent_ = 0;
    write_progress_at_ = owner_.context.clock();
    write_some();
}

void proxied_connection::write_some()
{
    socket_.async_write_some(
        asio::buffer(in_flight_) + in_flight_sent_,
        [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_written(ec, n); });
}

void proxied_connection::on_written(boost_error ec, std::size_t n)
{
    if (closed_) {
        return;
    }
    in_flight_sent_ += n;
    if (!ec && in_flight_sent_ < in_flight_.size()) {
        write_progress_at_ = owner_.context.clock();
        write_some();
        return;
    }
    writing_ = false;
    in_flight_.clear();
    in_flight_sent_ = 0;
    if (in_flight_.capacity() > kept_capacity) {
        in_flight_ = {};
    }
    if (ec) {
        close();
        return;
    }
    flush();
    count_bytes();
    if (behind()) {
        return;
    }
    if (std::exchange(next_is_due_, false)) {
        next_request();
    }
    else if (const auto current = exchange_) {
        current->on_caller_ready();
    }
}

void proxied_connection::answer_done()
{
    exchange_.reset();
    answering_ = false;
    body_bytes_ = 0;
    if (closed_) {
        return;
    }
    if (!keep_alive_ || close_after_write_ || owner_.draining) {
        close_after_write_ = true;
        flush();
        return;
    }
    if (behind()) {
        next_is_due_ = true;
        return;
    }
    next_request();
}

bool proxied_connection::receiving() const
{
    if (answering_ || close_after_write_ || next_is_due_) {
        return false;
    }
    if (!had_request_ && owner_.context.clock() - opened_at_ < first_request_wait) {
        return true;
    }
    boost_error ec;
    const bool unread = socket_.available(ec) > 0 && !ec;
    return unread || !inbound_.empty() || (parser_ && parser_->got_some());
}

// The read under way may have received bytes that on_read() has not seen yet. Cancelling it tells:
// on_read() gets either the bytes or operation_aborted.
void proxied_connection::close_when_idle()
{
    if (busy() || receiving()) {
        return;
    }
    closing_when_idle_ = true;
    boost_error ignored;
    socket_.cancel(ignored);
}

void proxied_connection::end_request()
{
    if (const auto current = exchange_) {
        current->on_stop();
    }
}

void proxied_connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    held_.clear();
    const auto self = shared_from_this();
    owner_.context.deadlines.cancel(deadline_);
    if (exchange_) {
        const auto current = std::exchange(exchange_, nullptr);
        current->on_caller_gone();
    }
    boost_error ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    owner_.connections.erase(self);
}

} // namespace wagtailhitch::detail
