#include "proxy/evacuations.hpp"

namespace wagtailhitch {

bool evacuations::begin(const failure_domain_id& domain, time_point now)
{
    return since_.try_emplace(domain, now).second;
}

bool evacuations::end(const failure_domain_id& domain)
{
    return since_.erase(domain) > 0;
}

std::vector<failure_domain_id> evacuations::replace(const std::set<failure_domain_id>& in_force,
                                                    time_point now)
{
    std::vector<failure_domain_id> changed;
    for (const auto& domain : in_force) {
        if (begin(domain, now)) {
            changed.push_back(domain);
        }
    }
    std::erase_if(since_, [&](const auto& item) {
        const bool ended = !in_force.contains(item.first);
        if (ended) {
            changed.push_back(item.first);
        }
        return ended;
    });
    return changed;
}

} // namespace wagtailhitch
