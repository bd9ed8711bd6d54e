#pragma once

#include "base/ring.hpp"
#include "node/messages.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

// A thread that runs one io_context, and the wake-ups between such threads.

namespace wagtailhitch::detail {

/// Runs `drain` on the thread of `io` after wake(). However many wake-ups come before it runs, it
/// is posted once.
class waker {
public:
    waker(boost::asio::io_context& io, std::function<void()> drain)
        : io_{io}, drain_{std::move(drain)}
    {
    }

    void wake()
    {
        if (pending_.exchange(true)) {
            return;
        }
        boost::asio::post(io_, [this] {
            // Cleared first: a message that is pushed from here on posts again.
            pending_.exchange(false);
            drain_();
        });
    }

private:
    boost::asio::io_context& io_;
    std::function<void()> drain_;
    std::atomic<bool> pending_{false};
};

class io_thread {
public:
    io_thread() : work_{boost::asio::make_work_guard(io_)} {}
    ~io_thread()
    {
        stop();
        join();
    }
    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;

    [[nodiscard]] boost::asio::io_context& io() { return io_; }

    void start(const std::string& name)
    {
        thread_ = std::thread{[this, name] {
            // The kernel keeps at most 15 characters.
            pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
            io_.run();
        }};
    }
    void stop() { io_.stop(); }
    void join()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    // One thread runs the context, which spares its locks.
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace wagtailhitch::detail
