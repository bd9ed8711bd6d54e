#pragma once

#include "base/clock.hpp"
#include "proxy/peer_report.hpp"
#include "proxy/service_rollout.hpp"
#include "rollout/answer_pace.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The roll-outs that operators have ordered, the evidence of all VMs on their versions, and what
// this VM should publish.
//
//   rollout_board board{self, settings};
//   board.order({"engine", "v2", 24s}, now);
//   board.note_answer({"engine", "v2", "reports", {.failed = false, .slow = true}});
//   board.judge(facts, now);
//   for (const auto& it : board.publications(rank, now)) { write(it); }

namespace wagtailhitch {

/// A state to be written to the store, unless a final one is there.
struct rollout_publication {
    std::string service;
    std::string target;
    rollout_state state{rollout_state::running};
    std::string reason;
};

/// What the judgement of one service's roll-out needs besides the evidence.
struct rollout_surroundings {
    std::vector<std::string> old_software; ///< versions that the new one replaces
    std::uint32_t old_in_flight{0};        ///< requests at their replicas
};

/// What an answer says about the software that gave it.
struct answer_quality {
    bool failed{false};
    bool slow{false};                          ///< its first byte was late
    std::optional<duration> pause_of_events{}; ///< mean, of a stream
};

struct judged_answer {
    std::string service;
    std::string software;
    std::string_view route;
    answer_quality quality;
};

class rollout_board {
public:
    rollout_board(process_id self, service_rollout_settings settings);

    void order(const rollout_order& order, time_point now);
    void note_published(const std::string& service, const std::string& target, rollout_state state);
    /// The order is at least this old.
    void note_age(const std::string& service, const std::string& target, duration age,
                  time_point now);
    /// What another VM says.
    void take(const peer_report& report, time_point now);
    /// Adds what this VM has to say; to a digest, also the evidence of the other members.
    void fill(peer_report& report, time_point now) const;

    /// A complete answer, or a failure at the upstream, of a request on `route`.
    void note_answer(const judged_answer& answer);

    using surroundings_of =
        std::function<rollout_surroundings(const std::string& service, const std::string& target)>;
    /// Halts and completes what is due. Returns how many roll-outs were halted.
    std::size_t judge(const std::vector<std::string>& routes, const surroundings_of& surroundings,
                      time_point now);
    /// `rank`: VMs that publish before this one.
    std::vector<rollout_publication> publications(std::size_t rank, time_point now);

    [[nodiscard]] const service_rollout* find(const std::string& service) const;
    [[nodiscard]] const service_rollout_settings& settings() const { return settings_; }

private:
    [[nodiscard]] service_rollout* find(const std::string& service, const std::string& target);
    [[nodiscard]] bool is_judged(const version_id& group) const;
    [[nodiscard]] version_counts total(const version_id& group) const;
    [[nodiscard]] bool is_dragged(const judged_answer& answer);
    bool judge_groups(const std::string& service, service_rollout& rollout,
                      const std::vector<std::string>& routes,
                      const rollout_surroundings& surroundings);

    process_id self_;
    service_rollout_settings settings_;
    std::map<std::string, service_rollout> rollouts_; ///< by service
    std::map<std::string, time_point> publication_due_;
    evidence_pool evidence_; ///< of this VM and the members of its domain
    std::map<failure_domain_id, std::map<version_id, version_counts>> domain_evidence_;
    std::map<version_id, version_counts> own_evidence_;
    std::map<std::string, answer_pace> paces_; ///< of established software, by service
};

} // namespace wagtailhitch
