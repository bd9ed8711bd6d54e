#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

// Counters, gauges and time histograms of one process, rendered as Prometheus text.
//
//   metrics metrics;
//   counter& refused = metrics.count("refusals_total", {{"code", "queue_full"}});
//   refused.add();
//   metrics.time("first_token_seconds", {}).record(0.120);
//   std::string text = metrics.render();
//
// References stay valid for the life of the registry; add() and record() may run on any thread.

namespace wagtailhitch {

using metric_labels = std::map<std::string, std::string>;

class counter {
public:
    void add(std::uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

class gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    [[nodiscard]] double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/// Counts of durations in logarithmic bins from 100 microseconds to 100 seconds.
class time_histogram {
public:
    time_histogram();
    ~time_histogram();
    time_histogram(const time_histogram&) = delete;
    time_histogram& operator=(const time_histogram&) = delete;

    void record(double seconds);
    /// Upper edge, in seconds, of the bin that holds the given quantile; 0 when empty.
    [[nodiscard]] double quantile(double q) const;
    [[nodiscard]] std::uint64_t count() const;
    /// Appends Prometheus `_bucket`, `_sum` and `_count` lines.
    void render(std::string& out, std::string_view name, const std::string& labels) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

class metrics {
public:
    counter& count(const std::string& name, const metric_labels& labels = {});
    gauge& level(const std::string& name, const metric_labels& labels = {});
    time_histogram& time(const std::string& name, const metric_labels& labels = {});

    /// Prometheus text exposition; each name is prefixed with "wagtailhitch_".
    [[nodiscard]] std::string render() const;

private:
    template<typename Metric>
    using family = std::map<std::string, std::map<std::string, std::unique_ptr<Metric>>>;

    mutable std::mutex mutex_;
    family<counter> counters_;
    family<gauge> gauges_;
    family<time_histogram> histograms_;
};

} // namespace wagtailhitch
