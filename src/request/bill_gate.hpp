#pragma once

#include "billing/bill.hpp"
#include "node/core_state.hpp"
#include "node/messages.hpp"

#include <map>
#include <vector>

// Delays the end of an answer until its bill has been copied to a peer.
//
//   gate.hold(state, bill, answer_end{...}, now);
//   gate.release(id, out);          // on bill_release
//
// If the answer ended earlier, a VM failure could lose the bill of a completed answer (design 3.6).

namespace wagtailhitch {

class bill_gate {
public:
    /// Records the request's only bill; `end` is emitted once it is copied or after the timeout.
    void hold(core_state& state, const bill& created, output end, time_point now);
    void release(const request_id& request, std::vector<output>& out);

    [[nodiscard]] std::size_t held() const { return pending_ends_.size(); }

private:
    std::map<request_id, output> pending_ends_;
};

} // namespace wagtailhitch
