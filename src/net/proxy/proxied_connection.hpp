#pragma once

#include "net/endpoint.hpp"
#include "net/message_body.hpp"
#include "net/proxy/proxy_server.hpp"

#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

// One connection of a caller: reads requests one by one and answers them in order.

namespace wagtailhitch {

namespace detail {
class proxied_connection;
} // namespace detail

struct proxy_server::state : std::enable_shared_from_this<state> {
    state(proxy_context& shared, proxy_server_settings values)
        : context{shared}, settings{std::move(values)}, acceptor{shared.io.get_executor()}
    {
    }

    void accept();
    /// Closes the connection that has waited for a request for the longest. Returns false when all
    /// have one in progress.
    bool close_waiting_connection();
    /// Checks at intervals, while there are connections, what waits in their sockets and whether
    /// their callers take their answers.
    void watch_connections();
    void report_limit(std::string_view limit, std::size_t bytes);
    void on_accepted(boost::system::error_code ec, detail::tcp_socket socket);
    void begin_connection(detail::tcp_socket socket);

    proxy_context& context;
    proxy_server_settings settings;
    detail::tcp_acceptor acceptor;
    bool draining{false};
    bool watching{false};
    std::optional<time_point> limit_logged_at;
    std::uint64_t limits_unlogged{0}; ///< since the last log line
    std::unordered_set<std::shared_ptr<detail::proxied_connection>> connections;
};

namespace detail {

class proxied_connection : public std::enable_shared_from_this<proxied_connection> {
public:
    proxied_connection(proxy_server::state& owner, tcp_socket socket);

    void begin();
    void close();
    /// Closes at once when no answer is due and no request is arriving, else after the answer.
    void close_when_idle();
    /// Counts what waits in the socket's buffers, and closes when the caller has taken nothing for
    /// too long.
    void watch();
    /// When the connection began to wait for a request or for its end; nullopt while one is
    /// answered.
    [[nodiscard]] std::optional<time_point> waiting_since() const;
    /// Releases the bytes that this connection holds: refuses a request that was not received
    /// completely, and closes otherwise.
    void release();
    void release_soon();
    /// Closes and discards what was not sent.
    void close_at_once();
    /// Ends the request in progress with the answer that is possible now.
    void end_request();
    /// True while a part of a request has arrived, also if it has not been read yet, or while the
    /// first request of a new connection may be on its way.
    [[nodiscard]] bool receiving() const;
    /// True while a request is being answered by a replica, or waits for one.
    [[nodiscard]] bool answering() const { return exchange_ != nullptr; }
    /// True while an answer is due or not yet written out.
    [[nodiscard]] bool busy() const { return exchange_ != nullptr || answering_ || writing_; }

private:
    using request_parser = boost::beast::http::request_parser<detail::message_body>;
    using boost_error = boost::system::error_code;

    void next_request();
    void read();
    void on_read(boost_error ec, std::size_t n);
    void process();
    bool parse();
    void check_head();
    void start_answer();
    void serve_page();
    void reject(unsigned status, std::string_view why, std::string_view headers = {});
    void refuse_for_memory();
    void linger();
    void discard(std::size_t n);
    void count_bytes();
    [[nodiscard]] bool behind() const;
    void write(std::string_view bytes);
    void flush();
    void write_some();
    void on_written(boost_error ec, std::size_t n);
    void answer_done();
    void set_deadline(duration wait);
    [[nodiscard]] request_limits limits() const;

    proxy_server::state& owner_;
    tcp_socket socket_;
    time_point opened_at_;
    bool had_request_{false};
    std::array<char, 8192> read_buffer_; ///< filled by the read under way
    std::string inbound_;                ///< received and not yet parsed
    std::optional<request_parser> parser_;
    std::shared_ptr<proxied_exchange> exchange_;
    std::string pending_;
    std::string in_flight_;
    std::size_t in_flight_sent_{0};
    std::size_t body_bytes_{0};   ///< of the request in progress
    std::size_t socket_bytes_{0}; ///< in the socket's buffers, when last looked at
    std::size_t discarded_{0};    ///< after a refusal
    caller_bytes held_;
    time_point write_progress_at_;
    time_point waiting_since_;
    deadline_queue::handle deadline_{};
    bool reading_{false};
    bool writing_{false};
    bool answering_{false}; ///< the request is complete and its answer is not
    bool keep_alive_{true};
    bool head_checked_{false};
    bool close_after_write_{false};
    bool refused_{false};           ///< what still arrives is discarded
    bool lingering_{false};         ///< only the end of the connection is awaited
    bool next_is_due_{false};       ///< the next request starts once the caller has read
    bool closing_when_idle_{false}; ///< the read was cancelled by close_when_idle()
    bool release_due_{false};
    bool closed_{false};
};

} // namespace detail

} // namespace wagtailhitch
