#pragma once

#include "node/messages.hpp"

#include <functional>
#include <memory>

// Passes inputs from an I/O thread to the decision thread through a bounded ring.
//
//   input_sender sender{io, sink, metrics.count("inputs_delayed_total")};
//   if (!sender.offer(request)) { refuse(error_code::ring_full); }   // may be refused
//   sender.send(attempt_finished{...});                              // is never lost
//   if (sender.congested()) { sender.when_uncongested([] { read_more(); }); }
//
// All functions run on the owner's I/O thread. `send` queues inputs that do not fit into the
// ring and retries every millisecond. Users stop reading from their sockets while `congested()`, so
// that the queue is bounded by one read of each open connection.

namespace boost::asio {
class io_context;
}

namespace wagtailhitch {

class counter;

/// Moves the input into the ring and returns true, or leaves it as it was and returns false.
using input_sink = std::function<bool(input&)>;

class input_sender {
public:
    input_sender(boost::asio::io_context& io, input_sink sink, counter& delayed);
    ~input_sender();
    input_sender(const input_sender&) = delete;
    input_sender& operator=(const input_sender&) = delete;

    /// Returns false when the ring is full or older inputs are waiting; the input is then dropped.
    [[nodiscard]] bool offer(input message);
    void send(input message);
    [[nodiscard]] bool congested() const;
    /// Runs `resume` once all queued inputs are in the ring; at once when none is queued.
    void when_uncongested(std::function<void()> resume);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
