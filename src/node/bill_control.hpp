#pragma once

#include "node/core_state.hpp"
#include "request/bill_gate.hpp"

#include <vector>

// Carries bills from the buffer to peers and the log.
//
//   bills.on_copy(from, message, now, out); // copies of another VM's bills
//   bills.tick(now, out);

namespace wagtailhitch {

class bill_control {
public:
    bill_control(core_state& state, bill_gate& gate);

    void on_copy(const process_id& from, const bill_copy_message& message, time_point now,
                 std::vector<output>& out);
    void on_ack(const process_id& from, const bill_ack_message& message, std::vector<output>& out);
    void on_done(const process_id& from, const bill_done_message& message,
                 std::vector<output>& out);
    void tick(time_point now, std::vector<output>& out);

private:
    void carry_out(std::vector<bill_output>& steps, std::vector<output>& out);
    void append(bill_append& step, std::vector<output>& out);

    core_state& state_;
    bill_gate& gate_;
};

} // namespace wagtailhitch
