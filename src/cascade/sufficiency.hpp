#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

// Counts how often a model's answers were rated sufficient, by route.
//
//   table.record("report", model, rating.score >= 0.5);
//   for (const auto& cell : table.own_cells()) { share(cell); }
//   other.merge(cell);
//   auto counts = table.counts("report", model);

namespace wagtailhitch {

struct sufficiency_counts {
    double sufficient{0};
    double total{0};
};

/// Bounds of the Wilson score interval for the true share. `z`: standard normal quantile.
double wilson_lower(const sufficiency_counts& counts, double z);
double wilson_upper(const sufficiency_counts& counts, double z);

/// Counts recorded by one process. Only the process `source` writes the cell.
struct sufficiency_cell {
    std::string route{};
    model_id model{};
    process_id source{};
    std::uint32_t generation{0}; ///< number of times the counts were halved
    double sufficient{0};
    double total{0};
};

struct sufficiency_settings {
    /// The counts of a cell are halved at this total, so that old ratings lose weight.
    double window{2000};
    std::size_t maximum_cells{20000};
};

/// Counts that can be merged. Merging is commutative, associative and idempotent, so cells may
/// arrive late, twice and in any order.
class sufficiency_table {
public:
    sufficiency_table(process_id self, sufficiency_settings settings);

    void record(const std::string& route, const model_id& model, bool sufficient);
    /// Returns false when the cell is ignored: it is invalid, the process's own, not newer than the
    /// stored one, or the table is full.
    bool merge(const sufficiency_cell& cell);
    [[nodiscard]] sufficiency_counts counts(const std::string& route, const model_id& model) const;
    [[nodiscard]] std::vector<sufficiency_cell> own_cells() const;
    [[nodiscard]] std::size_t cell_count() const { return cell_count_; }

private:
    using key = std::pair<std::string, model_id>;
    struct cell_state {
        std::uint32_t generation{0};
        sufficiency_counts counts;
    };
    struct entry {
        std::map<process_id, cell_state> cells;
        sufficiency_counts sum;
    };
    static void recompute_sum(entry& item);

    process_id self_;
    sufficiency_settings settings_;
    std::map<key, entry> entries_;
    std::size_t cell_count_{0};
};

} // namespace wagtailhitch
