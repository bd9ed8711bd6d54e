#pragma once

#include "net/endpoint.hpp"
#include "net/proxy/proxy_server.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

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
    void on_accepted(boost::system::error_code ec, detail::tcp_socket socket);
    void begin_connection(detail::tcp_socket socket);

    proxy_context& context;
    proxy_server_settings settings;
    detail::tcp_acceptor acceptor;
    bool draining{false};
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
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using boost_error = boost::system::error_code;

    void next_request();
    void read();
    void on_read(boost_error ec, std::size_t n);
    void process();
    bool parse();
    void check_head();
    void start_answer();
    void serve_page();
    void reject(unsigned status, std::string_view why);
    void write(std::string_view bytes);
    void flush();
    void on_written(boost_error ec);
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
    buffered_bytes backlog_; ///< bytes of the two
    deadline_queue::handle deadline_{};
    bool reading_{false};
    bool writing_{false};
    bool answering_{false}; ///< the request is complete and its answer is not
    bool keep_alive_{true};
    bool head_checked_{false};
    bool close_after_write_{false};
    bool closing_when_idle_{false}; ///< the read was cancelled by close_when_idle()
    bool closed_{false};
};

} // namespace detail

} // namespace wagtailhitch
