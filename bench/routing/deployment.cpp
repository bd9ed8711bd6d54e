#include "routing/deployment.hpp"

namespace wagtailhitch::bench {

// Placement, slots, speeds, prices and deadlines follow the files in samples/; lengths of prompts
// and answers are assumptions.

deployment cuenca()
{
    using enum request_class;
    return {"cuenca",
            {"sierra-a", "sierra-a", "sierra-a", "sierra-b", "sierra-b", "costa-a", "costa-a"},
            {{"a1", "sierra-a", "sierra", 8, 1.0, {0}},
             {"a2", "sierra-a", "sierra", 12, 1.4, {1, 2}},
             {"a3", "sierra-a", "sierra", 16, 2.0, {2}},
             {"b1", "sierra-b", "sierra", 8, 0.9, {0}},
             {"b2", "sierra-b", "sierra", 12, 1.2, {1, 2}},
             {"b3", "sierra-b", "sierra", 10, 1.1, {0, 1}},
             {"c1", "costa-a", "costa", 4, 0.6, {0}},
             {"c2", "costa-a", "costa", 8, 1.0, {1, 2}},
             {"c3", "costa-a", "costa", 8, 1.3, {2}}},
            {{"narrator", 0.4, 1.2, 45}, {"scribe", 0.1, 0.3, 80}, {"brief", 0.02, 0.06, 150}},
            {{"report", 0.15, 0, 3000, 600, 60s, 4s, long_request, 12},
             {"question", 0.35, 1, 1500, 150, 15s, 1500ms, short_request, 40},
             {"classification", 0.5, 2, 800, 20, 5s, 1s, short_request, 8}},
            1.0,
            2.0,
            500us};
}

deployment ekwueme()
{
    using enum request_class;
    return {"ekwueme",
            {"ikeja", "ikeja", "ikeja", "apapa", "apapa", "apapa", "garki", "garki"},
            {{"i1", "ikeja", "ng-south", 8, 1.2, {0}},
             {"i2", "ikeja", "ng-south", 12, 1.5, {1, 2}},
             {"i3", "ikeja", "ng-south", 16, 2.2, {2}},
             {"p1", "apapa", "ng-south", 8, 1.0, {0, 1}},
             {"p2", "apapa", "ng-south", 12, 1.3, {1, 2}},
             {"p3", "apapa", "ng-south", 8, 0.9, {0}},
             {"g1", "garki", "ng-north", 6, 0.8, {0}},
             {"g2", "garki", "ng-north", 8, 1.0, {1, 2}},
             {"g3", "garki", "ng-north", 8, 1.1, {1, 2}}},
            {{"drafter", 0.3, 0.9, 60}, {"reader", 0.08, 0.2, 100}, {"tagger", 0.01, 0.03, 200}},
            {{"letter", 0.2, 0, 1200, 300, 30s, 1500ms, long_request, 10},
             {"manifest", 0.4, 1, 2500, 120, 8s, 800ms, short_request, 30},
             {"tag", 0.4, 2, 400, 10, 3s, 500ms, short_request, 6}},
            1.0,
            0.2,
            1500us};
}

deployment large_domain()
{
    using enum request_class;
    constexpr int replicas = 60;
    constexpr double slower_speed = 0.7;
    deployment place{"large_domain",
                     std::vector<std::string>(7, "d1"),
                     {},
                     {{"general", 0.1, 0.3, 60}},
                     {{"chat", 0.8, 0, 2000, 150, 15s, 1s, short_request, 400},
                      {"report", 0.2, 0, 4000, 500, 60s, 2s, long_request, 100}},
                     1.0,
                     0.2,
                     500us};
    for (int i = 0; i < replicas; ++i) {
        const double speed = i % 3 == 0 ? slower_speed : 1.0;
        place.engines.push_back({"e" + std::to_string(i), "d1", "r1", 16, speed, {0}});
    }
    return place;
}

std::string region_of(const deployment& deployment, const std::string& domain)
{
    for (const auto& engine : deployment.engines) {
        if (engine.domain == domain) {
            return engine.region;
        }
    }
    return {};
}

} // namespace wagtailhitch::bench
