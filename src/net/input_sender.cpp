#include "net/input_sender.hpp"

#include "base/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <utility>
#include <vector>

namespace wagtailhitch {

namespace {

constexpr std::chrono::milliseconds retry_interval{1};

} // namespace

struct input_sender::state : std::enable_shared_from_this<state> {
    state(boost::asio::io_context& io, input_sink input_taker, counter& count)
        : sink{std::move(input_taker)}, delayed{count}, timer{io}
    {
    }

    void schedule_retry()
    {
        timer.expires_after(retry_interval);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
            if (!ec) {
                self->flush();
            }
        });
    }

    void flush()
    {
        while (!backlog.empty() && sink(backlog.front())) {
            backlog.pop_front();
        }
        if (!backlog.empty()) {
            schedule_retry();
            return;
        }
        for (auto& resume : std::exchange(waiting, {})) {
            resume();
        }
    }

    input_sink sink;
    counter& delayed;
    boost::asio::steady_timer timer;
    std::deque<input> backlog;
    std::vector<std::function<void()>> waiting;
};

input_sender::input_sender(boost::asio::io_context& io, input_sink sink, counter& delayed)
    : state_{std::make_shared<state>(io, std::move(sink), delayed)}
{
}

input_sender::~input_sender()
{
    state_->waiting.clear();
    state_->timer.cancel();
}

bool input_sender::offer(input message)
{
    return state_->backlog.empty() && state_->sink(message);
}

void input_sender::send(input message)
{
    if (state_->backlog.empty() && state_->sink(message)) {
        return;
    }
    state_->delayed.add();
    state_->backlog.push_back(std::move(message));
    if (state_->backlog.size() == 1) {
        state_->schedule_retry();
    }
}

bool input_sender::congested() const
{
    return !state_->backlog.empty();
}

void input_sender::when_uncongested(std::function<void()> resume)
{
    if (!congested()) {
        resume();
        return;
    }
    state_->waiting.push_back(std::move(resume));
}

} // namespace wagtailhitch
