#pragma once

#include "net/caller_server.hpp"
#include "net/caller_text.hpp"
#include "net/endpoint.hpp"
#include "net/message_body.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

// One connection of a caller. It reads requests one after the other and writes their answers in the
// same order.
//
// The owner passes it a connected socket and calls sweep() regularly to check the deadlines. The
// connection submits requests to the owner through caller_host.

namespace wagtailhitch::detail {

class caller_connection;
using caller_connection_ptr = std::shared_ptr<caller_connection>;

/// A response that the owner gives at once, without the decision thread.
struct served_page {
    unsigned status{200};
    std::string content_type;
    std::string body;
};

/// Interface of a connection to its owner. All calls are made on the callers thread.
class caller_host {
public:
    caller_host() = default;
    caller_host(const caller_host&) = delete;
    caller_host& operator=(const caller_host&) = delete;
    virtual ~caller_host() = default;

    [[nodiscard]] virtual const caller_server_settings& settings() const = 0;
    [[nodiscard]] virtual bool draining() const = 0;
    /// A page that needs no decision, or nullopt when the path is not such a page.
    virtual std::optional<served_page> page(std::string_view method, std::string_view path) = 0;
    /// Registers the connection under a new token and submits the request. Errors: ring_full.
    virtual expected<caller_token> submit(caller_request request, caller_connection_ptr from) = 0;
    /// Unregisters the token: its answer is complete, or the request was refused.
    virtual void release(caller_token token) = 0;
    /// Reports that the connection closed while the answer for the token was due.
    virtual void report_gone(caller_token token) = 0;
    virtual void count_refusal(const error& reason) = 0;
    virtual void count_slow_caller() = 0;
    /// Schedules one flush() after the current batch of outputs has been handled.
    virtual void flush_later(caller_connection_ptr connection) = 0;
    virtual void closed(const caller_connection_ptr& connection) = 0;
};

class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(caller_host& host, tcp_socket socket);

    void begin();
    /// Answers with a refusal and closes. Used for connections above the connection limit.
    void begin_refused(const error& reason);

    void handle(answer_start&& message);
    void handle(answer_chunk&& message);
    void handle(answer_end&& message);
    void handle(answer_whole&& message);
    void handle(answer_error&& message);

    void flush();
    /// Closes at once when no answer is due, else after the answer.
    void close_when_idle();
    /// True while an answer is due or not yet written out.
    [[nodiscard]] bool busy() const
    {
        return phase_ == phase::answering || !writing_.empty() || !pending_.empty();
    }
    void sweep(time_point now);
    /// Closes without reporting to the owner, which is being destroyed.
    void close_without_report();

private:
    using request_parser = boost::beast::http::request_parser<message_body>;
    using boost_error = boost::system::error_code;

    enum class phase { idle, receiving, answering, lingering, closed };

    void next_request();
    void read();
    void on_read(boost_error ec, std::size_t n);
    void process();
    bool parse_request();
    void reject_malformed(const boost_error& ec);
    void send_continue();
    void dispatch_request();
    void submit(caller_request&& request);
    void refuse(const error& reason, bool keep_alive);
    void append_response(unsigned status, std::string_view type, std::string_view body,
                         const std::map<std::string, std::string>& headers);
    void end_answer();
    void write();
    void on_written(boost_error ec, std::size_t n);
    void on_output_written();
    void linger();
    void check_backlog();
    void close();

    caller_host& host_;
    tcp_socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<request_parser> parser_;
    std::string pending_; ///< not yet handed to the socket
    std::string writing_; ///< handed to the socket
    std::size_t written_{0};
    phase phase_{phase::idle};
    caller_token token_{0};
    bool reading_{false};
    bool keep_alive_{true};
    bool chunked_{true};
    bool streamed_{false};
    bool answer_started_{false};
    bool continue_sent_{false};
    bool processing_{false};
    bool close_after_write_{false};
    bool caller_finished_sending_{false}; ///< the caller has closed its sending side
    time_point deadline_{};               ///< of the current phase
    time_point write_deadline_{};         ///< while something is being written
    answer_start start_;
    chat_stream_writer stream_;
    std::string content_; ///< collected content of a non-streamed answer
};

} // namespace wagtailhitch::detail
