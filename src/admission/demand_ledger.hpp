#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// The recent demand of one VM for the slots of its services, by kind of request, and the share of
// it that a given capacity can serve.
//
//   demand_ledger ledger{{}};
//   const std::size_t kind = ledger.find({"engine", 1, team, "chat", false}, now);
//   ledger.count(kind, now);                              // a request arrived
//   ledger.note_answer(kind, {.total = 2s, .after_first_token = 1s, .output_tokens = 80});
//   const served_share share = ledger.share(kind, 40.0, now);

namespace wagtailhitch {

/// Requests that are served alike. The names come from the operators' configuration, which bounds
/// their number.
struct request_kind {
    std::string service;
    std::uint32_t priority{0}; ///< 0 is served first
    team_id team;              ///< empty on anonymous routes
    std::string route;
    bool large{false}; ///< needs far more work than the route's usual request

    friend auto operator<=>(const request_kind&, const request_kind&) = default;
};

struct ledger_settings {
    duration recent{3s};     ///< time constant of the recent demand
    duration usual{60s};     ///< time constant of the demand that counts as usual
    duration wait{500ms};    ///< time constant of the expected waits for a slot
    duration background{4s}; ///< the same, of the average that shows their course
    /// Expected waits are taken as present for this time after the last request.
    duration wait_validity{1s};
    /// Each kind keeps at least this part of the overall served share. Above the required half by
    /// the error of the recent rates.
    double least_share{0.6};
};

/// The measured times of an answer that did not wait for a slot.
struct measured_answer {
    duration total{};
    duration after_first_token{};
    std::uint32_t output_tokens{0}; ///< expected by the caller; 0: unknown
};

/// Of a request at the replica that was chosen for it.
struct expected_times {
    duration first_token{}; ///< without `wait`
    duration wait{};        ///< until a slot is free
    duration target{};      ///< of the first token
};

/// What limits a kind to less than it asks for.
enum class share_limit { none, capacity, priority, team, route };

struct served_share {
    double fraction{1}; ///< of the kind's recent requests
    double rate{0};     ///< requests of the kind per second that this is
    share_limit limit{share_limit::none};
};

class demand_ledger {
public:
    explicit demand_ledger(ledger_settings settings) : settings_{settings} {}

    /// Returns the number of a kind, which stays valid.
    std::size_t find(const request_kind& kind, time_point now);
    void count(std::size_t kind, time_point now);
    /// Records what a request that arrived now is expected to meet.
    void note_expected(std::size_t kind, const expected_times& times, time_point now);
    void note_answer(std::size_t kind, const measured_answer& answer);

    /// Mean time that a request of the kind occupies a slot; of the service if the kind is not
    /// known yet, 0 if nothing is known.
    [[nodiscard]] double slot_seconds(std::size_t kind) const;
    /// Mean time that the present mix of requests of the kind's service occupies a slot; 0: not
    /// known.
    [[nodiscard]] double mean_slot_seconds(std::size_t kind, time_point now) const;
    /// Expected time from the first token to the end of an answer; 0 if nothing is known.
    [[nodiscard]] duration after_first_token(std::size_t kind, std::uint32_t output_tokens) const;
    /// Expected first token of the kind at present, as a multiple of its target; 0 if there were no
    /// such requests recently.
    [[nodiscard]] double pressure(std::size_t kind, time_point now) const;
    /// The highest pressure on the other kinds of the same service.
    [[nodiscard]] double pressure_on_others(std::size_t kind, time_point now) const;
    /// Time until the pressure on the kind has fallen to `level`, if it keeps falling as it does;
    /// 0 if it does not fall.
    [[nodiscard]] duration until_pressure(std::size_t kind, double level, time_point now) const;
    /// Divides `slots` among the kinds of the same service: each keeps its least share, the rest
    /// goes to the more urgent first, then to teams and to kinds within a team by weighted max-min
    /// fairness. Their usual demand is the weight, so that only a sudden surge is cut.
    [[nodiscard]] served_share share(std::size_t kind, double slots, time_point now) const;

private:
    /// An event count that decays exponentially.
    struct decayed_count {
        double value{0};
        time_point at;
        void add(duration constant, time_point now);
        [[nodiscard]] double read(duration constant, time_point now) const;
    };
    struct kind_state {
        request_kind kind;
        time_point first_seen;
        decayed_count recent;
        decayed_count usual;
        double first_token_seconds{0};
        double target_seconds{0};
        double slot_seconds{0};
        double after_first_seconds{0};
        double output_tokens{0};
    };
    /// Expected waits for a slot in seconds, over all kinds of a service.
    struct service_wait {
        double recent{0};
        double background{0};
        time_point at;
    };
    struct kind_demand;

    [[nodiscard]] double recent_rate(const kind_state& state, time_point now) const;
    [[nodiscard]] double usual_rate(const kind_state& state, time_point now) const;
    [[nodiscard]] double present_wait(const std::string& service, time_point now) const;
    [[nodiscard]] std::vector<kind_demand> demands(const std::string& service,
                                                   time_point now) const;
    static void divide(std::vector<kind_demand>& demands, double slots, double least_fraction);

    ledger_settings settings_;
    std::vector<kind_state> kinds_;
    std::map<std::string, service_wait> waits_;
};

} // namespace wagtailhitch
