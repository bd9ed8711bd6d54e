#include "proxy/region_policy.hpp"

#include <algorithm>
#include <iterator>

namespace wagtailhitch {

allowed_regions::allowed_regions(std::span<const region_id> by_route,
                                 std::span<const region_id> by_team)
    : restricted_{!by_route.empty() || !by_team.empty()}
{
    const auto& first = by_route.empty() ? by_team : by_route;
    std::ranges::copy_if(first, std::back_inserter(regions_), [&](const region_id& region) {
        return by_team.empty() || std::ranges::find(by_team, region) != by_team.end();
    });
}

bool allowed_regions::allows(const region_id& region) const
{
    return !restricted_ ||
           (!region.empty() && std::ranges::find(regions_, region) != regions_.end());
}

} // namespace wagtailhitch
