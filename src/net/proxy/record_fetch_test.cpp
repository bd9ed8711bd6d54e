#include "net/net_test_support.hpp"
#include "net/proxy/record_fetch.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace wagtailhitch {
namespace {

TEST(record_fetch_test, path_is_read_as_it_was_written)
{
    for (const log_position from : {log_position{{}, 17}, log_position{log_epoch{3}, 17}}) {
        const auto query = parse_records_path(records_path("replicas", from));
        ASSERT_TRUE(query.has_value());
        EXPECT_EQ(query->stream, "replicas");
        EXPECT_EQ(query->from, from);
    }
    EXPECT_EQ(records_path("replicas", {{}, 17}), "/records/replicas/17")
        << "VMs of earlier versions read only this form.";
}

TEST(record_fetch_test, other_paths_are_not_queries)
{
    for (const char* path :
         {"/", "/records/", "/records/x", "/records/x/", "/records/x/-1", "/records/x/1y",
          "/records/x/1/", "/records/x/1/2/3", "/metrics", "/records/x/99999999999999999999999"}) {
        EXPECT_FALSE(parse_records_path(path).has_value()) << path;
    }
}

class record_fetch_from_vm_test : public net_testing::net_fixture {};

// Guards against records, and against ends of streams, from an answer whose head is broken.
TEST_F(record_fetch_from_vm_test, broken_answer_is_a_failure)
{
    relayed_records records;
    records.next = {{}, 5};
    for (const auto& broken : net_testing::unusable_answers("", encode_relayed_records(records))) {
        net_testing::scripted_listener vm{io_};
        detail::http_client client{io_, {}};
        std::optional<expected<relayed_records>> got;
        fetch_records(client, vm.address, "replicas", {},
                      [&](expected<relayed_records> answer) { got = std::move(answer); });
        ASSERT_TRUE(pump_until(
            [&] { return !vm.connections.empty() && !vm.connections[0]->received.empty(); }));
        vm.connections[0]->write(broken.text);
        vm.connections[0]->close();
        ASSERT_TRUE(pump_until([&] { return got.has_value(); }));
        EXPECT_FALSE(got->has_value()) << broken.name;
    }
}

} // namespace
} // namespace wagtailhitch
