#include "node/test_deployment.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iostream>

// Prints the control-plane cost of a VM at several sizes of one failure domain: bytes to peers and
// processor time, without any request. The test doubles run in the same thread, so processor time
// is an upper bound.

namespace {

using namespace wagtailhitch;

constexpr duration settle_time = 10s;
constexpr duration measured_time = 20s;

document document_of(std::size_t engines)
{
    auto doc = test_document();
    const auto sample = doc.upstreams.at(upstream_id{"engine-a1"});
    for (std::size_t i = 0; i < engines; ++i) {
        auto spec = sample;
        spec.address = "127.0.0.1:" + std::to_string(10000 + i);
        doc.upstreams[upstream_id{"engine-x" + std::to_string(i)}] = spec;
    }
    return doc;
}

struct control_cost {
    double bytes_per_second{0};
    double core_share{0};
    double records_per_second{0};
};

control_cost measure(std::size_t vms, std::size_t engines, duration change_interval)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < vms; ++i) {
        names.push_back("a" + std::to_string(i));
    }
    test_deployment net{names};
    auto doc = document_of(engines);
    net.submit(doc);
    net.run_for(settle_time);
    std::size_t bytes = 0;
    for (const auto& name : names) {
        bytes += net.peer_bytes(name);
    }
    const auto records = net.records_written();
    const auto clock = std::clock();
    for (duration done{}; done < measured_time; done += change_interval) {
        doc.models.at(model_id{"good"}).quality =
            doc.models.at(model_id{"good"}).quality > 0.92 ? 0.91 : 0.95;
        net.submit(doc);
        net.run_for(change_interval);
    }
    const double cpu = static_cast<double>(std::clock() - clock) / CLOCKS_PER_SEC;
    std::size_t bytes_after = 0;
    for (const auto& name : names) {
        bytes_after += net.peer_bytes(name);
    }
    const double seconds = std::chrono::duration<double>(measured_time).count();
    const auto n = static_cast<double>(vms);
    return {static_cast<double>(bytes_after - bytes) / seconds / n, cpu / seconds / n,
            static_cast<double>(net.records_written() - records) / seconds};
}

} // namespace

int main()
{
    for (const std::size_t vms : {4U, 8U, 16U, 26U}) {
        for (const std::size_t engines : {15U, 60U, 240U}) {
            const auto cost = measure(vms, engines, 5s);
            std::cout << nlohmann::json{{"name", "control"},
                                        {"vms", vms},
                                        {"engines", engines},
                                        {"bytes_per_second_per_vm", cost.bytes_per_second},
                                        {"core_share_per_vm", cost.core_share},
                                        {"log_records_per_second", cost.records_per_second}}
                             .dump()
                      << std::endl;
        }
    }
    return 0;
}
