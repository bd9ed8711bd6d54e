#pragma once

#include "base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

// Manages many deadlines with one timer. Deadlines close to each other share a wake-up, since on a
// small VM each wake-up costs more than the work it does.
//
//   deadline_queue deadlines{io};
//   auto handle = deadlines.after(300ms, [] { give_up(); });
//   deadlines.cancel(handle);

namespace wagtailhitch {

class deadline_queue {
public:
    using handle = std::pair<time_point, std::uint64_t>;

    explicit deadline_queue(boost::asio::io_context& io) : timer_{io} {}

    /// Runs `action` once, up to 10 ms after `wait`.
    handle after(duration wait, std::function<void()> action);
    /// Does nothing when the deadline has passed.
    void cancel(handle& which);

private:
    void arm();
    void run();

    boost::asio::steady_timer timer_;
    std::map<handle, std::function<void()>> actions_;
    time_point armed_for_{time_point::max()};
    std::uint64_t next_{1};
};

} // namespace wagtailhitch
