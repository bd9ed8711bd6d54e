#include "request/bill_gate.hpp"

namespace wagtailhitch {

void bill_gate::hold(core_state& state, const bill& created, output end, time_point now)
{
    state.bills.add(created, now);
    state.counters.count("bills_total", {{"outcome", std::string{name_of(created.outcome)}}}).add();
    pending_ends_.emplace(created.request, std::move(end));
}

void bill_gate::release(const request_id& request, std::vector<output>& out)
{
    const auto it = pending_ends_.find(request);
    if (it == pending_ends_.end()) {
        return;
    }
    out.push_back(std::move(it->second));
    pending_ends_.erase(it);
}

} // namespace wagtailhitch
