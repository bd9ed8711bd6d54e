#include "routing/cascade_model.hpp"
#include "routing/report.hpp"

#include <CLI/CLI.hpp>

// Compares the routing and cascade decisions with their baselines on a queue model and prints JSON
// lines. The results depend on the seeds only.

int main(int argc, char** argv)
{
    CLI::App app{"Compares routing and cascade policies on a queue model."};
    std::string what = "routing";
    app.add_option("what", what, "routing, overload, settings or cascade")
        ->check(CLI::IsMember({"routing", "overload", "settings", "cascade"}));
    CLI11_PARSE(app, argc, argv);
    using namespace wagtailhitch::bench;
    if (what == "cascade") {
        compare_cascades();
        return 0;
    }
    for (const deployment& place : {cuenca(), ekwueme(), large_domain()}) {
        const double capacity = capacity_of(place);
        if (what == "routing") {
            compare_policies(place, capacity);
        }
        else if (what == "overload") {
            compare_overload(place, capacity);
        }
        else {
            compare_settings(place, capacity);
        }
    }
}
