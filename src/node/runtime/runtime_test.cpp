#include "base/metrics.hpp"
#include "net/endpoint.hpp"
#include "node/runtime/runtime.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace wagtailhitch {
namespace {

const std::string chat_body = R"({"model":"m","messages":[{"role":"user","content":"a"}]})";

/// A blocking caller: sends one request and reads until the connection closes.
std::string send_chat(const std::string& address)
{
    boost::asio::io_context io;
    detail::tcp_socket socket{io.get_executor()};
    socket.connect(*detail::parse_endpoint(address));
    boost::asio::write(
        socket, boost::asio::buffer("POST /v1/chat/completions HTTP/1.1\r\nConnection: close\r\n"
                                    "Content-Length: " +
                                    std::to_string(chat_body.size()) + "\r\n\r\n" + chat_body));
    std::string out;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(out), ec);
    return out;
}

class runtime_test : public testing::Test {
protected:
    runtime_test()
    {
        settings_.peers.self = process_id{vm_id{"vm-1"}, 1};
        settings_.peers.cluster_key = "0123456789abcdef0123456789abcdef";
        settings_.platform.log_address = "127.0.0.1:1";
        settings_.tick_interval = 1ms;
    }

    /// Answers every chat at once and stops when asked to.
    void answer_all(const input& in, std::vector<output>& out)
    {
        if (const auto* request = std::get_if<caller_request>(&in)) {
            const request_id id{vm_id{"vm-1"}, 1, ++answered_};
            out.emplace_back(answer_start{request->caller, id, version_id{"n-3"}, {}});
            out.emplace_back(answer_chunk{request->caller, "text " + std::to_string(answered_)});
            out.emplace_back(answer_end{request->caller, "stop", 1, 1, 0});
        }
        if (std::holds_alternative<stop_requested>(in)) {
            out.emplace_back(stopped{});
        }
    }

    core_hooks answering_core()
    {
        return {
            [this](const input& in, time_point, std::vector<output>& out) { answer_all(in, out); },
            [this](time_point, std::vector<output>&) { ++ticks_; }};
    }

    runtime_settings settings_;
    metrics metrics_;
    std::uint64_t answered_{0};
    std::atomic<std::uint64_t> ticks_{0};
};

// Guards against answers that are lost between the threads or sent to the wrong caller.
TEST_F(runtime_test, concurrent_callers_each_get_one_whole_answer)
{
    runtime node{settings_, answering_core(), metrics_};
    ASSERT_TRUE(node.start().has_value());
    constexpr int callers = 8;
    constexpr int rounds = 20;
    std::atomic<int> complete{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < rounds; ++n) {
                const std::string answer = send_chat(node.caller_address());
                complete += answer.find("\"content\":\"text ") != std::string::npos ? 1 : 0;
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    EXPECT_EQ(complete.load(), callers * rounds);
    node.request_stop();
    node.wait();
    EXPECT_GT(ticks_.load(), 0U);
}

// Guards against an attempt whose failure is never reported to the core.
TEST_F(runtime_test, refused_attempt_is_reported_to_the_core)
{
    std::atomic<bool> failed{false};
    std::atomic<bool> started{false};
    const core_hooks core{[&](const input& in, time_point, std::vector<output>& out) {
                              if (const auto* failure = std::get_if<attempt_failed>(&in)) {
                                  failed = failure->reason.run == run_state::not_run;
                                  out.emplace_back(stopped{});
                              }
                          },
                          [&](time_point, std::vector<output>& out) {
                              if (started.exchange(true)) {
                                  return;
                              }
                              attempt_start attempt;
                              attempt.attempt = attempt_id{request_id{vm_id{"vm-1"}, 1, 1}, 1};
                              attempt.address = "127.0.0.1:1";
                              attempt.first_byte_timeout = 60s;
                              attempt.progress_timeout = 60s;
                              out.emplace_back(std::move(attempt));
                          }};
    runtime node{settings_, core, metrics_};
    ASSERT_TRUE(node.start().has_value());
    node.wait();
    EXPECT_TRUE(failed.load());
}

// Guards against a planned stop that truncates an answer which is being written.
TEST_F(runtime_test, stop_waits_for_unfinished_answers)
{
    std::optional<caller_token> pending_caller;
    std::atomic<bool> request_received{false};
    const core_hooks core{
        [&](const input& in, time_point, std::vector<output>& out) {
            if (const auto* request = std::get_if<caller_request>(&in)) {
                pending_caller = request->caller;
                request_received = true;
            }
            if (std::holds_alternative<stop_requested>(in)) {
                const std::string large(200'000, 'x');
                out.emplace_back(answer_start{
                    *pending_caller, request_id{vm_id{"vm-1"}, 1, 1}, version_id{"n-3"}, {}});
                out.emplace_back(answer_chunk{*pending_caller, large});
                out.emplace_back(answer_end{*pending_caller, "stop", 1, 1, 0});
                out.emplace_back(stopped{});
            }
        },
        [](time_point, std::vector<output>&) {}};
    runtime node{settings_, core, metrics_};
    ASSERT_TRUE(node.start().has_value());
    std::string answer;
    std::thread caller{[&] { answer = send_chat(node.caller_address()); }};
    while (!request_received) {
        std::this_thread::yield();
    }
    node.request_stop();
    node.wait();
    caller.join();
    EXPECT_GT(answer.size(), 200'000U);
    EXPECT_TRUE(answer.ends_with("}")) << answer.substr(answer.size() - 100);
}

// Guards against two processes that both start successfully on the same port.
TEST_F(runtime_test, taken_address_is_an_error_at_start)
{
    runtime first{settings_, answering_core(), metrics_};
    ASSERT_TRUE(first.start().has_value());
    settings_.callers.address = first.caller_address();
    runtime second{settings_, answering_core(), metrics_};
    const auto started = second.start();
    ASSERT_FALSE(started.has_value());
    EXPECT_EQ(started.error().code, error_code::internal);
    first.request_stop();
    first.wait();
}

} // namespace
} // namespace wagtailhitch
