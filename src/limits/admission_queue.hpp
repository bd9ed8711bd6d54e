#pragma once

#include "base/error.hpp"
#include "config/document.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

// Admission queue of one pool of upstreams.
//
//   if (auto queued = queue.offer({token, team, kind, deadline, 900ms}, now); !queued) { ... }
//   for (const auto& entry : queue.expire(now)) { refuse(entry); }
//   while (auto entry = queue.next(now)) { dispatch(*entry); }
//   queue.finished(entry, elapsed);    // when a dispatched request completes

namespace wagtailhitch {

struct queue_settings {
    std::uint32_t capacity{256};     ///< maximum number of waiting requests
    std::uint32_t concurrency{16};   ///< maximum number of concurrently dispatched requests
    double team_capacity_share{0.5}; ///< part of `capacity` that one team may use
    /// Part of `capacity` that long requests may use. Without this bound, long requests, whose
    /// deadlines are far in the future, fill the queue under overload and short ones are refused.
    double long_capacity_share{0.5};
    /// Every nth dispatch prefers the long class, so that short requests cannot starve it.
    std::uint32_t long_class_interval{8};
    duration default_service_time{2s}; ///< for requests without an expected service time
    double smoothing{0.05};            ///< weight of a new service time observation in the average
    duration min_retry_after{100ms};
    duration max_retry_after{10s};
    /// Fraction of the time until the deadline that the expected wait and service time may use; the
    /// rest allows for estimation errors.
    double deadline_fraction{0.9};
    /// Safety margin, in standard deviations of the service time, for requests that have to wait.
    /// Without it, an overloaded queue reaches an equilibrium in which admitted requests just meet
    /// their deadlines on average, and many miss them.
    double margin_deviations{1.5};
    /// Upper bound of the margin, as a fraction of the time left beyond the expected service time.
    double max_margin_fraction{0.75};
};

struct queue_entry {
    std::uint64_t token{0}; ///< identifies the request to the caller of the queue
    team_id team{};
    request_class kind{request_class::short_request};
    time_point deadline{};
    duration expected_service{}; ///< 0: `default_service_time`
    time_point offered_at{};     ///< set by offer()
};

/// Bounded, deadline-aware queue. Within a class, teams share the service time by weight through
/// start-time fair queueing on the expected service time. Short requests precede long ones. Not
/// thread-safe: a single thread owns it.
class admission_queue {
public:
    explicit admission_queue(queue_settings settings);

    /// Teams without a weight have weight 1.
    void set_weight(const team_id& team, double weight);
    void set_concurrency(std::uint32_t limit) { settings_.concurrency = limit; }

    /// Enqueues a request. Errors, with step admit, not_run and retry_after: queue_full,
    /// deadline_unreachable.
    expected<void> offer(queue_entry entry, time_point now);
    /// Removes the next request that can still meet its deadline and counts it as dispatched. Empty
    /// when there is none or the concurrency limit is reached. Call expire() first.
    std::optional<queue_entry> next(time_point now);
    /// Removes and returns the requests that can no longer meet their deadlines.
    std::vector<queue_entry> expire(time_point now);
    /// Removes a waiting request whose caller has disconnected. Returns false when it is not
    /// queued.
    bool remove(std::uint64_t token);
    /// Records that a dispatched request completed after `service`. Call once for each entry from
    /// next().
    void finished(const queue_entry& entry, duration service);

    [[nodiscard]] std::size_t waiting() const { return waiting_; }
    [[nodiscard]] std::uint32_t dispatched() const { return dispatched_; }
    /// Expected wait of a request of this team and class if it were offered now.
    [[nodiscard]] duration expected_wait(const team_id& team, request_class kind) const;
    /// Expected service time of a request, corrected by the observed service times of its class.
    [[nodiscard]] duration expected_service_time(const queue_entry& entry) const;

private:
    static constexpr std::size_t class_count = 2;

    struct tagged_entry {
        queue_entry entry;
        double start{0}; ///< virtual start time
        double cost{0};  ///< expected service in seconds
    };
    struct team_queue {
        std::deque<tagged_entry> waiting;
        double last_finish{0};
        double queued_cost{0};
    };
    struct class_queue {
        std::map<team_id, team_queue> teams;
        double virtual_time{0};
        double queued_cost{0};
        std::size_t waiting{0};
        double correction{1}; ///< mean of actual over expected service time
        double variance{0};   ///< variance of the same ratio
    };

    [[nodiscard]] duration stated_service_time(const queue_entry& entry) const;
    [[nodiscard]] bool full(const queue_entry& entry) const;
    [[nodiscard]] double service_margin(const queue_entry& entry) const;
    [[nodiscard]] double weight_of(const team_id& team) const;
    [[nodiscard]] class_queue& class_queue_of(request_class kind);
    [[nodiscard]] const class_queue& class_queue_of(request_class kind) const;
    [[nodiscard]] std::size_t waiting_count(const team_id& team) const;
    [[nodiscard]] double cost_ahead(const team_id& team, request_class kind) const;
    [[nodiscard]] bool misses_deadline(const tagged_entry& item, time_point now) const;
    [[nodiscard]] bool is_long_class_turn() const;
    std::optional<queue_entry> take(class_queue& queue, time_point now);
    void erase(class_queue& queue, team_queue& team, std::size_t position);

    queue_settings settings_;
    std::map<team_id, double> weights_;
    std::array<class_queue, class_count> classes_;
    std::size_t waiting_{0};
    std::uint32_t dispatched_{0};
    double dispatched_cost_{0}; ///< stated service time of dispatched requests, in seconds
    std::uint32_t dispatch_count_{0};
};

} // namespace wagtailhitch
