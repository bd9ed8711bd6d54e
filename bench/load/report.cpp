#include "load/report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailhitch::load {

namespace {

/// Nearest-rank quantile; 0 when there are no values.
double quantile(const std::vector<double>& sorted, double q)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

nlohmann::json quantiles(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {{"p50", quantile(values, 0.5)},
            {"p95", quantile(values, 0.95)},
            {"p99", quantile(values, 0.99)}};
}

} // namespace

void report::add(const result& one)
{
    if (one.end == outcome::not_sent) {
        ++not_sent_;
        return;
    }
    ++sent_;
    if (one.end == outcome::refused) {
        ++refused_[one.code];
        return;
    }
    if (one.end == outcome::broken) {
        ++broken_[one.code];
        return;
    }
    first_token_ms_.push_back(one.first_token_ms);
    total_ms_.push_back(one.total_ms);
    answer_bytes_ += one.answer_bytes;
}

nlohmann::json report::summary(const std::string& name, double seconds) const
{
    const auto answered = static_cast<double>(total_ms_.size());
    return {{"name", name},
            {"sent", sent_},
            {"not_sent", not_sent_},
            {"answered", total_ms_.size()},
            {"refused", refused_},
            {"broken", broken_},
            {"seconds", seconds},
            {"goodput_per_s", seconds > 0 ? answered / seconds : 0},
            {"answer_bytes", answer_bytes_},
            {"first_token_ms", quantiles(first_token_ms_)},
            {"total_ms", quantiles(total_ms_)}};
}

} // namespace wagtailhitch::load
