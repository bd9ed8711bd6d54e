#pragma once

#include "base/clock.hpp"
#include "proxy/peer_report.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

// Which software served a session last, for as long as its requests follow each other.
//
//   session_memory sessions{5s};
//   sessions.remember(hash, "v2", now);
//   const std::string* software = sessions.find(hash, now);

namespace wagtailhitch {

/// Who served a session's last request.
enum class session_source { self, member, other_domain };

class session_memory {
public:
    explicit session_memory(duration lifetime) : lifetime_{lifetime} {}

    /// `used_at`: the session's last request; an older one than known changes nothing.
    void remember(std::uint64_t session, const std::string& software, time_point used_at,
                  session_source source);
    /// Null when the session is unknown or its last request is too long ago.
    [[nodiscard]] const std::string* find(std::uint64_t session, time_point now) const;
    /// Sessions that a trial of `settings` would expose and that were served at `widest` at most:
    /// by this VM, or by its domain.
    [[nodiscard]] std::vector<reported_session>
    exposed(const service_rollout_settings& settings, session_source widest, time_point now) const;
    /// Forgets ended sessions; does its work once a lifetime.
    void sweep(time_point now);

private:
    struct entry {
        std::string software;
        time_point used_at;
        session_source source{session_source::self};
    };

    duration lifetime_;
    std::unordered_map<std::uint64_t, entry> entries_; ///< by hash of the session's name
    time_point swept_at_{};
};

} // namespace wagtailhitch
