#include "net/proxy/proxied_connection.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

// What bounds the bytes that a caller's connection holds, and how it ends at a limit.

namespace wagtailhitch::detail {

namespace asio = boost::asio;

namespace {

/// Time after which a request that was refused for lack of memory may succeed: a caller that holds
/// more is closed at once, and its memory is free then.
constexpr duration memory_retry_after = 1s;

} // namespace

// Bytes beyond the limit stay in the socket until the connection is closed.
void proxied_connection::discard(std::size_t n)
{
    discarded_ += n;
    if (discarded_ <= owner_.settings.linger_bytes) {
        read();
    }
}

bool proxied_connection::behind() const
{
    return pending_.size() + in_flight_.size() - in_flight_sent_ > owner_.settings.pause_above;
}

void proxied_connection::count_bytes()
{
    if (closed_) {
        return;
    }
    const std::size_t received = parser_ ? parser_->get().body().size() : 0;
    held_.set(inbound_.size() + received + body_bytes_ + pending_.size() + in_flight_.size() +
                  socket_bytes_,
              owner_.context.clock());
}

void proxied_connection::watch()
{
    if (closed_) {
        return;
    }
    boost_error ec;
    const std::size_t unread = socket_.available(ec);
    int unsent = 0;
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unsent) != 0) {
        unsent = 0;
    }
    socket_bytes_ = (ec ? 0 : unread) + static_cast<std::size_t>(std::max(unsent, 0));
    count_bytes();
    if (writing_ && owner_.context.clock() - write_progress_at_ >= owner_.settings.write_timeout) {
        owner_.context.counters.count("proxied_callers_slow_total").add();
        owner_.report_limit("write_timeout", held_.size());
        close_at_once();
    }
}

std::optional<time_point> proxied_connection::waiting_since() const
{
    if (!lingering_ && busy()) {
        return std::nullopt;
    }
    return waiting_since_;
}

// The budget asks while the bytes of some connection are being changed.
void proxied_connection::release_soon()
{
    if (std::exchange(release_due_, true)) {
        return;
    }
    asio::post(socket_.get_executor(), [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->release_due_ = false;
            it->release();
        }
    });
}

void proxied_connection::release()
{
    if (closed_ || held_.size() == 0) {
        return;
    }
    owner_.report_limit("caller_memory", held_.size());
    const bool receiving_body =
        !answering_ && !close_after_write_ && parser_ && parser_->is_header_done();
    if (receiving_body && !owner_.settings.page) {
        refuse_for_memory();
        return;
    }
    close_at_once();
}

void proxied_connection::refuse_for_memory()
{
    const proxied_request request = owner_.context.dialect.read_request(parser_->get());
    const error reason{error_code::queue_full,
                       step::parse,
                       {},
                       run_state::not_run,
                       "The VM has no memory for the request's body.",
                       memory_retry_after};
    header_list fields;
    owner_.context.dialect.write_refusal(request, reason, fields);
    std::string headers;
    for (const auto& [name, value] : fields) {
        headers.append(name).append(": ").append(value).append("\r\n");
    }
    reject(status_of(reason), reason.detail, headers);
}

// Closing with unread bytes would reset the connection before the caller has read the refusal.
void proxied_connection::linger()
{
    if (std::exchange(lingering_, true)) {
        return;
    }
    boost_error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    auto& deadlines = owner_.context.deadlines;
    deadlines.cancel(deadline_);
    deadline_ = deadlines.after(owner_.settings.linger_timeout, [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->close();
        }
    });
}

void proxied_connection::close_at_once()
{
    if (closed_) {
        return;
    }
    // Otherwise the system would keep what was not sent until the caller has read it.
    boost_error ignored;
    socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
    close();
}

} // namespace wagtailhitch::detail
