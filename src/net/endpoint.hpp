#pragma once

#include "base/error.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

// TCP types of the I/O threads. Each io_context runs on one thread, so its executor is used
// directly, without strands or type erasure.

namespace wagtailhitch::detail {

using tcp = boost::asio::ip::tcp;
using executor_type = boost::asio::io_context::executor_type;
using tcp_socket = boost::asio::basic_stream_socket<tcp, executor_type>;
using tcp_acceptor = boost::asio::basic_socket_acceptor<tcp, executor_type>;

/// Errors: internal when the text is not "IP:port" or "[IP]:port".
expected<tcp::endpoint> parse_endpoint(std::string_view text);
std::string to_string(const tcp::endpoint& endpoint);

/// The error of an address that could not be bound. Has a retry_after if another process still uses
/// the address or the host does not have it yet, so that a later try may succeed.
error bind_error(const std::string& address, const boost::system::error_code& ec);

/// Opens, binds and listens. Errors: internal with the address; see bind_error().
expected<void> listen_on(tcp_acceptor& acceptor, const std::string& address);

/// Lets the listening socket ignore requests for new connections, while those that are being opened
/// or wait to be accepted complete. Returns false if the system has no socket filters.
bool drop_connection_requests(tcp_acceptor& acceptor);

/// True when the connection is still open and has no unread bytes.
bool is_open_without_unread_data(tcp_socket& socket);

} // namespace wagtailhitch::detail
