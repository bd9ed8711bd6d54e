#pragma once

#include "base/clock.hpp"
#include "proxy/peer_report.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

// Remembers which software served the last request of each session, until the session has had no
// request for a lifetime.
//
//   session_affinity sessions{5s};
//   sessions.remember(hash, "v2", now, session_source::self);
//   const std::string* software = sessions.find(hash, now);

namespace wagtailhitch {

/// Who served a session's last request: this VM, a member of its failure domain, or another domain.
enum class session_source { self, member, other_domain };

class session_affinity {
public:
    explicit session_affinity(duration lifetime) : lifetime_{lifetime} {}

    /// `used_at`: time of the session's last request. Ignored if older than the known one.
    void remember(std::uint64_t session, const std::string& software, time_point used_at,
                  session_source source);
    /// Returns null if the session is unknown or its last request is more than a lifetime ago.
    [[nodiscard]] const std::string* find(std::uint64_t session, time_point now) const;
    /// Sessions that a trial with `settings` would expose and whose last request was served no
    /// farther away than `farthest_source`: by this VM, or by its failure domain.
    [[nodiscard]] std::vector<reported_session> exposed(const service_rollout_settings& settings,
                                                        session_source farthest_source,
                                                        time_point now) const;
    /// Removes expired sessions, at most once per lifetime.
    void sweep(time_point now);

private:
    struct entry {
        std::string software;
        time_point used_at;
        session_source source{session_source::self};
    };

    duration lifetime_;
    std::unordered_map<std::uint64_t, entry> entries_; ///< keyed by hash of the session's name
    time_point swept_at_{};
};

} // namespace wagtailhitch
