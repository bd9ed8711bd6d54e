#include "base/metrics.hpp"

#include <boost/histogram.hpp>

#include <sstream>

namespace wagtailhitch {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bin_count = 48;
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 100.0;
constexpr std::string_view prefix = "wagtailhitch_";

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type =
    decltype(bh::make_histogram(log_axis{bin_count, lowest_seconds, highest_seconds}));

std::string escape_label(const std::string& text)
{
    std::string out;
    for (const char c : text) {
        if (c == '\\' || c == '"') {
            out.push_back('\\');
        }
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        out.push_back(c);
    }
    return out;
}

std::string label_text(const metric_labels& labels)
{
    std::string out;
    for (const auto& [name, value] : labels) {
        if (!out.empty()) {
            out += ',';
        }
        out += name + "=\"" + escape_label(value) + "\"";
    }
    return out;
}

std::string braces(const std::string& labels)
{
    return labels.empty() ? std::string{} : "{" + labels + "}";
}

template<typename Families>
auto& find_or_create(Families& families, const std::string& name, const metric_labels& labels)
{
    auto& entry = families[name][label_text(labels)];
    if (!entry) {
        entry = std::make_unique<typename std::remove_reference_t<decltype(entry)>::element_type>();
    }
    return *entry;
}

template<typename Families>
void render_values(std::ostringstream& out, const Families& families, std::string_view type)
{
    for (const auto& [name, members] : families) {
        out << "# TYPE " << prefix << name << ' ' << type << '\n';
        for (const auto& [labels, metric] : members) {
            out << prefix << name << braces(labels) << ' ' << metric->value() << '\n';
        }
    }
}

} // namespace

struct time_histogram::state {
    mutable std::mutex mutex;
    histogram_type bins = bh::make_histogram(log_axis{bin_count, lowest_seconds, highest_seconds});
    double sum{0};
    std::uint64_t count{0};
};

time_histogram::time_histogram() : state_{std::make_unique<state>()} {}
time_histogram::~time_histogram() = default;

void time_histogram::record(double seconds)
{
    const std::lock_guard lock{state_->mutex};
    state_->bins(seconds);
    state_->sum += seconds;
    ++state_->count;
}

std::uint64_t time_histogram::count() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->count;
}

double time_histogram::quantile(double q) const
{
    const std::lock_guard lock{state_->mutex};
    const double target_count = q * static_cast<double>(state_->count);
    double cumulative_count = 0;
    for (auto&& bin : bh::indexed(state_->bins, bh::coverage::all)) {
        cumulative_count += static_cast<double>(*bin);
        if (cumulative_count >= target_count && cumulative_count > 0) {
            return bin.bin().upper();
        }
    }
    return 0;
}

void time_histogram::render(std::string& out, std::string_view name,
                            const std::string& labels) const
{
    const std::lock_guard lock{state_->mutex};
    std::ostringstream text;
    const std::string separator = labels.empty() ? "" : ",";
    double cumulative_count = 0;
    for (auto&& bin : bh::indexed(state_->bins, bh::coverage::all)) {
        cumulative_count += static_cast<double>(*bin);
        text << prefix << name << "_bucket{" << labels << separator << "le=\"";
        if (bin.index() >= static_cast<int>(bin_count)) {
            text << "+Inf";
        }
        else {
            text << bin.bin().upper();
        }
        text << "\"} " << cumulative_count << '\n';
    }
    text << prefix << name << "_sum" << braces(labels) << ' ' << state_->sum << '\n';
    text << prefix << name << "_count" << braces(labels) << ' ' << state_->count << '\n';
    out += text.str();
}

counter& metrics::count(const std::string& name, const metric_labels& labels)
{
    const std::lock_guard lock{mutex_};
    return find_or_create(counters_, name, labels);
}

gauge& metrics::level(const std::string& name, const metric_labels& labels)
{
    const std::lock_guard lock{mutex_};
    return find_or_create(gauges_, name, labels);
}

time_histogram& metrics::time(const std::string& name, const metric_labels& labels)
{
    const std::lock_guard lock{mutex_};
    return find_or_create(histograms_, name, labels);
}

std::string metrics::render() const
{
    const std::lock_guard lock{mutex_};
    std::ostringstream text;
    render_values(text, counters_, "counter");
    render_values(text, gauges_, "gauge");
    std::string out = text.str();
    for (const auto& [name, members] : histograms_) {
        out += "# TYPE " + std::string{prefix} + name + " histogram\n";
        for (const auto& [labels, histogram] : members) {
            histogram->render(out, name, labels);
        }
    }
    return out;
}

} // namespace wagtailhitch
