#include "proxy/session_affinity.hpp"

namespace wagtailhitch {

void session_affinity::remember(std::uint64_t session, const std::string& software,
                                time_point used_at, session_source source)
{
    entry& known = entries_[session];
    if (used_at >= known.used_at) {
        known = {software, used_at, source};
    }
}

const std::string* session_affinity::find(std::uint64_t session, time_point now) const
{
    const auto it = entries_.find(session);
    const bool known = it != entries_.end() && now - it->second.used_at <= lifetime_;
    return known ? &it->second.software : nullptr;
}

std::vector<reported_session> session_affinity::exposed(const service_rollout_settings& settings,
                                                        session_source farthest_source,
                                                        time_point now) const
{
    std::vector<reported_session> out;
    for (const auto& [session, known] : entries_) {
        const duration age = now - known.used_at;
        if (age <= lifetime_ && known.source <= farthest_source &&
            service_rollout::in_trial_share(session, settings)) {
            out.push_back({session, known.software, age});
        }
    }
    return out;
}

void session_affinity::sweep(time_point now)
{
    if (now - swept_at_ <= lifetime_) {
        return;
    }
    swept_at_ = now;
    std::erase_if(entries_,
                  [&](const auto& item) { return now - item.second.used_at > lifetime_; });
}

} // namespace wagtailhitch
