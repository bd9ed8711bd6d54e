#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"

#include <map>
#include <set>
#include <vector>

// The failure domains whose replicas get no new requests until the operators withdraw the order.
// Requests that run there end where they are.
//
//   evacuations orders;
//   orders.begin(domain, now);               // the order was read
//   if (orders.contains(domain)) { ... }
//   for (const auto& domain : orders.replace({...}, now)) { ... }  // after the history was dropped

namespace wagtailhitch {

class evacuations {
public:
    /// Returns false if the domain was being evacuated already.
    bool begin(const failure_domain_id& domain, time_point now);
    /// Returns false if the domain was not being evacuated.
    bool end(const failure_domain_id& domain);
    /// Replaces all orders by the ones that are in force. Returns the domains whose order began or
    /// ended.
    std::vector<failure_domain_id> replace(const std::set<failure_domain_id>& in_force,
                                           time_point now);

    [[nodiscard]] bool contains(const failure_domain_id& domain) const
    {
        return !since_.empty() && since_.contains(domain);
    }
    [[nodiscard]] bool empty() const { return since_.empty(); }
    /// The domains, with the times at which this VM learned of the orders.
    [[nodiscard]] const std::map<failure_domain_id, time_point>& in_force() const { return since_; }

private:
    std::map<failure_domain_id, time_point> since_;
};

} // namespace wagtailhitch
