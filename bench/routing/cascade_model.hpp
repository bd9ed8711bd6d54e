#pragma once

namespace wagtailhitch::bench {

/// Compares cascade_policy with always-cheap, always-best and a fixed split of both, by cost and by
/// the share of sufficient answers, and prints JSON lines.
void compare_cascades();

} // namespace wagtailhitch::bench
