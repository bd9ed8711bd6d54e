#pragma once

#include "base/ids.hpp"

#include <span>
#include <vector>

// The regions in which a request may be served. A route and a team may each name allowed regions;
// where both do, a region must be in both lists.
//
//   allowed_regions regions{route.allowed_regions, team.allowed_regions};
//   if (regions.empty()) { refuse("no region in common"); }
//   if (regions.allows(replica_region)) { ... }

namespace wagtailhitch {

class allowed_regions {
public:
    /// Allows every region, also an unknown one.
    allowed_regions() = default;
    /// An empty list sets no restriction.
    allowed_regions(std::span<const region_id> by_route, std::span<const region_id> by_team);

    [[nodiscard]] bool restricted() const { return restricted_; }
    /// Whether the route and the team have no region in common.
    [[nodiscard]] bool empty() const { return restricted_ && regions_.empty(); }
    /// An unknown region (without a name) is allowed only where there is no restriction.
    [[nodiscard]] bool allows(const region_id& region) const;

private:
    bool restricted_{false};
    std::vector<region_id> regions_;
};

} // namespace wagtailhitch
