#include "net/input_sender.hpp"

#include "base/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <utility>
#include <vector>

namespace wagtailhitch {

namespace {

constexpr std::chrono::milliseconds offer_again_after{1};

} // namespace

struct input_sender::state : std::enable_shared_from_this<state> {
    state(boost::asio::io_context& io, input_sink input_taker, counter& count)
        : sink{std::move(input_taker)}, delayed{count}, timer{io}
    {
    }

    void offer_again()
    {
        timer.expires_after(offer_again_after);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
            if (!ec) {
                self->flush();
            }
        });
    }

    void flush()
    {
        while (!kept.empty() && sink(kept.front())) {
            kept.pop_front();
        }
        if (!kept.empty()) {
            offer_again();
            return;
        }
        for (auto& resume : std::exchange(waiting, {})) {
            resume();
        }
    }

    input_sink sink;
    counter& delayed;
    boost::asio::steady_timer timer;
    std::deque<input> kept;
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
    return state_->kept.empty() && state_->sink(message);
}

void input_sender::send(input message)
{
    if (state_->kept.empty() && state_->sink(message)) {
        return;
    }
    state_->delayed.add();
    state_->kept.push_back(std::move(message));
    if (state_->kept.size() == 1) {
        state_->offer_again();
    }
}

bool input_sender::congested() const
{
    return !state_->kept.empty();
}

void input_sender::when_clear(std::function<void()> resume)
{
    if (!congested()) {
        resume();
        return;
    }
    state_->waiting.push_back(std::move(resume));
}

} // namespace wagtailhitch
