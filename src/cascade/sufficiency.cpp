#include "cascade/sufficiency.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wagtailhitch {

namespace {

struct interval {
    double lower{0};
    double upper{1};
};

interval wilson(const sufficiency_counts& counts, double z)
{
    if (counts.total <= 0) {
        return {};
    }
    const double n = counts.total;
    const double share = std::clamp(counts.sufficient / n, 0.0, 1.0);
    const double z_squared = z * z;
    const double center = share + z_squared / (2 * n);
    const double half_width = z * std::sqrt(share * (1 - share) / n + z_squared / (4 * n * n));
    const double scale = 1 + z_squared / n;
    return {std::max(0.0, (center - half_width) / scale),
            std::min(1.0, (center + half_width) / scale)};
}

} // namespace

double wilson_lower(const sufficiency_counts& counts, double z)
{
    return wilson(counts, z).lower;
}

double wilson_upper(const sufficiency_counts& counts, double z)
{
    return wilson(counts, z).upper;
}

sufficiency_table::sufficiency_table(process_id self, sufficiency_settings settings)
    : self_{std::move(self)}, settings_{settings}
{
}

void sufficiency_table::record(const std::string& route, const model_id& model, bool sufficient)
{
    const key name{route, model};
    const auto known = entries_.find(name);
    const bool added = known == entries_.end() || !known->second.cells.contains(self_);
    if (added && cell_count_ >= settings_.maximum_cells) {
        return;
    }
    cell_count_ += added ? 1 : 0;
    entry& item = entries_[name];
    cell_state& cell = item.cells[self_];
    cell.counts.sufficient += sufficient ? 1 : 0;
    cell.counts.total += 1;
    if (cell.counts.total >= settings_.window) {
        cell.counts.sufficient /= 2;
        cell.counts.total /= 2;
        ++cell.generation;
    }
    recompute_sum(item);
}

bool sufficiency_table::merge(const sufficiency_cell& cell)
{
    const bool valid = cell.total >= 0 && cell.sufficient >= 0 && cell.sufficient <= cell.total;
    if (!valid || cell.source == self_) {
        return false;
    }
    const key name{cell.route, cell.model};
    const auto known = entries_.find(name);
    const bool added = known == entries_.end() || !known->second.cells.contains(cell.source);
    if (added && cell_count_ >= settings_.maximum_cells) {
        return false;
    }
    cell_count_ += added ? 1 : 0;
    entry& item = entries_[name];
    cell_state& state = item.cells[cell.source];
    const bool newer =
        std::tie(cell.generation, cell.total) > std::tie(state.generation, state.counts.total);
    if (newer) {
        state = {cell.generation, {cell.sufficient, cell.total}};
        recompute_sum(item);
    }
    return newer;
}

sufficiency_counts sufficiency_table::counts(const std::string& route, const model_id& model) const
{
    const auto it = entries_.find({route, model});
    return it == entries_.end() ? sufficiency_counts{} : it->second.sum;
}

std::vector<sufficiency_cell> sufficiency_table::own_cells() const
{
    std::vector<sufficiency_cell> cells;
    for (const auto& [name, item] : entries_) {
        const auto it = item.cells.find(self_);
        if (it != item.cells.end()) {
            const cell_state& state = it->second;
            cells.push_back({name.first, name.second, self_, state.generation,
                             state.counts.sufficient, state.counts.total});
        }
    }
    return cells;
}

void sufficiency_table::recompute_sum(entry& item)
{
    item.sum = {};
    for (const auto& [source, cell] : item.cells) {
        item.sum.sufficient += cell.counts.sufficient;
        item.sum.total += cell.counts.total;
    }
}

} // namespace wagtailhitch
