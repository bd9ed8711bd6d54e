#pragma once

#include "base/metrics.hpp"
#include "net/endpoint.hpp"
#include "net/input_sender.hpp"
#include "node/messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

// Support for tests of src/net: scripted TCP peers on ports chosen by the kernel. All run on the
// test's own io_context, which is run until a condition holds.

namespace wagtailhitch::net_testing {

namespace asio = boost::asio;
using detail::tcp_socket;

/// One TCP connection whose bytes the test reads and writes directly.
class scripted_connection : public std::enable_shared_from_this<scripted_connection> {
public:
    explicit scripted_connection(tcp_socket socket) : socket_{std::move(socket)} {}

    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                if (ec) {
                    self->closed = true;
                    return;
                }
                self->received.append(self->buffer_.data(), n);
                if (!self->paused) {
                    self->read();
                }
            });
    }

    void write(const std::string& text)
    {
        boost::system::error_code ignored;
        asio::write(socket_, asio::buffer(text), ignored);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    void reset()
    {
        socket_.set_option(asio::socket_base::linger{true, 0});
        close();
    }

    tcp_socket& socket() { return socket_; }

    std::string received;
    bool closed{false};
    bool paused{false};

private:
    tcp_socket socket_;
    std::array<char, 4096> buffer_{};
};

using scripted_connection_ptr = std::shared_ptr<scripted_connection>;

/// Listens on loopback and keeps every connection it accepts.
class scripted_listener {
public:
    explicit scripted_listener(asio::io_context& io) : acceptor_{io.get_executor()}
    {
        EXPECT_TRUE(detail::listen_on(acceptor_, "127.0.0.1:0").has_value());
        address = detail::to_string(acceptor_.local_endpoint());
        accept();
    }

    std::string address;
    std::vector<scripted_connection_ptr> connections;

private:
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code ec, tcp_socket socket) {
            if (ec) {
                return;
            }
            connections.push_back(std::make_shared<scripted_connection>(std::move(socket)));
            connections.back()->read();
            accept();
        });
    }

    detail::tcp_acceptor acceptor_;
};

/// A loopback address without a listener.
inline std::string refused_address()
{
    asio::io_context io;
    detail::tcp_acceptor acceptor{io.get_executor()};
    EXPECT_TRUE(detail::listen_on(acceptor, "127.0.0.1:0").has_value());
    return detail::to_string(acceptor.local_endpoint());
}

inline scripted_connection_ptr connect_to(asio::io_context& io, const std::string& address)
{
    tcp_socket socket{io.get_executor()};
    socket.connect(*detail::parse_endpoint(address));
    auto out = std::make_shared<scripted_connection>(std::move(socket));
    out->read();
    return out;
}

inline std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t out = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size())) {
        ++out;
    }
    return out;
}

/// What a server in trouble sends in place of an answer, before it closes the connection.
struct broken_answer {
    std::string name;
    std::string text;
};

/// Answers that would be complete but for one error in their heads. `fields` are lines of the head.
inline std::vector<broken_answer> broken_answers(const std::string& fields, const std::string& body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string end = "\r\n" + body;
    const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string whole = fields + length + end;
    return {
        {"status_000", "HTTP/1.1 000 Unknown\r\n" + whole},
        {"status_099", "HTTP/1.1 099 Unknown\r\n" + whole},
        {"status_600", "HTTP/1.1 600 Unknown\r\n" + whole},
        {"status_of_two_digits", "HTTP/1.1 20 OK\r\n" + whole},
        {"name_with_a_blank", ok + "Content Length: 1\r\n" + end},
        {"name_that_ends_with_a_blank", ok + "Content-Length : 1\r\n" + end},
        {"name_that_begins_with_a_blank", ok + "X-Other: 1\r\n Content-Length: 1\r\n" + end},
        {"name_that_begins_with_a_tab", ok + "X-Other:\r\n\tContent-Length: 1\r\n" + end},
        {"first_name_begins_with_a_blank", "HTTP/1.1 200 OK\r\n X-Other: 1\r\n" + whole},
        {"name_with_a_control_byte", ok + "Content\x01Length: 1\r\n" + end},
        {"name_with_a_nul", ok + "Content" + std::string(1, '\0') + "Length: 1\r\n" + end},
        {"name_with_a_line_feed", ok + "X-\nOther: 1\r\n" + length + end},
        {"name_that_begins_with_a_delete", ok + "\x7fX-Other: 1\r\n" + length + end},
        {"empty_name", ok + ": 1\r\n" + length + end},
        {"line_without_a_colon", ok + "X-Other\r\n" + length + end},
        {"unknown_transfer_coding", ok + "Transfer-Encoding: chunke\r\n" + end},
        {"transfer_coding_after_chunks", ok + "Transfer-Encoding: chunked, gzip\r\n" + end},
        {"transfer_coding_below_chunks", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
        {"transfer_coding_with_a_length", ok + "Transfer-Encoding: gzip\r\n" + length + end},
        {"length_beyond_64_bits", ok + "Content-Length: 99999999999999999999999\r\n\r\n"},
        {"chunk_beyond_64_bits", ok + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"},
        {"head_that_stops_in_the_status_line", "HTTP/1.1 200 O"},
        {"head_that_stops_after_the_status_line", "HTTP/1.1 200 OK\r\n"},
        {"head_that_stops_in_a_name", ok + "Content-Len"},
        {"head_that_stops_in_a_value", ok + "Content-Length: 1"},
        {"head_that_stops_after_a_line", ok + "Content-Length: 0\r\n"},
        {"head_that_stops_in_its_last_line", ok + "Content-Length: 0\r\n\r"},
        {"head_that_stops_after_an_informational_one", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok},
    };
}

/// Answers that end after the first bytes of a body that is larger than any memory.
inline std::vector<broken_answer> oversized_answers(const std::string& fields)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
    return {
        {"length", ok + "Content-Length: 90000000000000000\r\n\r\npart"},
        {"chunk", ok + "Transfer-Encoding: chunked\r\n\r\n40000000000000\r\npart"},
    };
}

/// All of these answers.
inline std::vector<broken_answer> unusable_answers(const std::string& fields,
                                                   const std::string& body)
{
    auto out = broken_answers(fields, body);
    const auto oversized = oversized_answers(fields);
    out.insert(out.end(), oversized.begin(), oversized.end());
    return out;
}

class net_fixture : public testing::Test {
protected:
    /// Timeouts for tests that expect them to expire, and for tests that expect them not to.
    static constexpr std::chrono::milliseconds expiring_timeout{40};
    static constexpr std::chrono::seconds non_expiring_timeout{60};

    input_sink sink()
    {
        return [this](input& message) {
            if (ring_full_) {
                return false;
            }
            inputs_.push_back(std::move(message));
            return true;
        };
    }

    /// Runs the io_context until `done`. The time limit is reached only when the test fails.
    template<typename Done> [[nodiscard]] bool pump_until(Done done)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (!done() && std::chrono::steady_clock::now() < until) {
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds{20});
        }
        return done();
    }

    template<typename Message> [[nodiscard]] std::vector<Message> inputs_of() const
    {
        std::vector<Message> out;
        for (const input& it : inputs_) {
            if (const auto* message = std::get_if<Message>(&it)) {
                out.push_back(*message);
            }
        }
        return out;
    }

    template<typename Message> [[nodiscard]] bool pump_until_input()
    {
        return pump_until([this] { return !inputs_of<Message>().empty(); });
    }

    asio::io_context io_;
    metrics metrics_;
    std::vector<input> inputs_;
    bool ring_full_{false};
};

} // namespace wagtailhitch::net_testing
