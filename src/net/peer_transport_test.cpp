#include "net/net_test_support.hpp"
#include "net/peer_transport.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch {
namespace {

using json = nlohmann::json;

/// One VM's transport on an io_context of its own, so that a test can stop it from responding.
struct peer_node {
    explicit peer_node(const std::string& name, incarnation run = 1)
    {
        settings.self = process_id{vm_id{name}, run};
        settings.failure_domain = failure_domain_id{"sierra-a"};
        settings.cluster_key = "0123456789abcdef0123456789abcdef";
        settings.sweep_interval = 5ms;
        settings.reconnect_delay = 5ms;
        settings.retire_delay = 20ms;
    }

    void start()
    {
        transport = std::make_unique<peer_transport>(
            io, settings,
            [this](input& message) {
                inputs.push_back(std::move(message));
                return true;
            },
            counters);
        ASSERT_TRUE(transport->start().has_value());
    }

    void send(const peer_node& to, const std::string& kind, const json& body) const
    {
        transport->handle(peer_send{to.settings.self.vm, to.transport->address(), kind,
                                    std::make_shared<json>(body)});
    }

    template<typename Message> [[nodiscard]] std::vector<Message> messages_of_type() const
    {
        std::vector<Message> out;
        for (const input& it : inputs) {
            if (const auto* message = std::get_if<Message>(&it)) {
                out.push_back(*message);
            }
        }
        return out;
    }

    std::uint64_t counter_value(const std::string& name) { return counters.count(name).value(); }

    boost::asio::io_context io;
    metrics counters;
    std::vector<input> inputs;
    peer_transport_settings settings;
    std::unique_ptr<peer_transport> transport;
};

class net_peer_transport_test : public net_testing::net_fixture {
protected:
    template<typename Done> bool run_nodes_until(const std::vector<peer_node*>& nodes, Done done)
    {
        return pump_until([&] {
            for (peer_node* it : nodes) {
                it->io.restart();
                it->io.run_for(std::chrono::milliseconds{1});
            }
            return done();
        });
    }

    void start_both()
    {
        a_.start();
        b_.start();
    }

    bool connect_both()
    {
        a_.send(b_, "heartbeat", {{"n", 0}});
        return run_nodes_until({&a_, &b_},
                               [&] { return !b_.messages_of_type<peer_frame>().empty(); });
    }

    peer_node a_{"a"};
    peer_node b_{"b", 9};
};

// Guards against frames that lose their sender, order or content.
TEST_F(net_peer_transport_test, frames_arrive_in_order_with_sender_and_body)
{
    start_both();
    constexpr std::uint64_t total = 100;
    for (std::uint64_t i = 0; i < total; ++i) {
        a_.send(b_, "heartbeat", {{"n", i}, {"pad", std::string(1000, 'x')}});
    }
    ASSERT_TRUE(run_nodes_until({&a_, &b_},
                                [&] { return b_.messages_of_type<peer_frame>().size() == total; }));
    const auto frames = b_.messages_of_type<peer_frame>();
    for (std::uint64_t i = 0; i < total; ++i) {
        EXPECT_EQ((*frames[i].body)["n"], i);
        EXPECT_EQ(frames[i].sequence, i + 1);
    }
    EXPECT_EQ(frames[0].from, (process_id{vm_id{"a"}, 1}));
    EXPECT_EQ(frames[0].failure_domain, failure_domain_id{"sierra-a"});
    EXPECT_EQ(frames[0].kind, "heartbeat");
    ASSERT_EQ(a_.messages_of_type<peer_connected>().size(), 1U);
    EXPECT_EQ(a_.messages_of_type<peer_connected>()[0].peer, (process_id{vm_id{"b"}, 9}));
}

// Guards against a second connection for the other direction of a pair.
TEST_F(net_peer_transport_test, both_directions_share_one_connection)
{
    start_both();
    ASSERT_TRUE(connect_both());
    b_.send(a_, "bill_ack", {{"n", 1}});
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return !a_.messages_of_type<peer_frame>().empty(); }));
    EXPECT_EQ(a_.messages_of_type<peer_connected>().size(), 1U);
    EXPECT_EQ(b_.messages_of_type<peer_connected>().size(), 1U);
}

// Guards against frames that are lost or duplicated when two VMs connect to each other at once.
TEST_F(net_peer_transport_test, simultaneous_connects_deliver_each_frame_once)
{
    start_both();
    a_.send(b_, "heartbeat", 1);
    b_.send(a_, "heartbeat", 2);
    ASSERT_TRUE(run_nodes_until({&a_, &b_}, [&] {
        return !a_.messages_of_type<peer_frame>().empty() &&
               !b_.messages_of_type<peer_frame>().empty();
    }));
    const auto until = std::chrono::steady_clock::now() + 3 * a_.settings.retire_delay;
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return std::chrono::steady_clock::now() >= until; }));
    a_.send(b_, "heartbeat", 3);
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return b_.messages_of_type<peer_frame>().size() == 2; }));
    EXPECT_EQ(a_.messages_of_type<peer_frame>().size(), 1U);
    EXPECT_TRUE(a_.messages_of_type<peer_lost>().empty());
    EXPECT_TRUE(b_.messages_of_type<peer_lost>().empty());
}

// Guards against a VM of another cluster, or an impostor, that is accepted as a peer.
TEST_F(net_peer_transport_test, other_cluster_key_is_rejected_by_both_sides)
{
    b_.settings.cluster_key = "another key of thirty-two bytes!";
    start_both();
    a_.send(b_, "heartbeat", 1);
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return !a_.messages_of_type<peer_lost>().empty(); }));
    EXPECT_EQ(a_.messages_of_type<peer_lost>()[0].reason.code, error_code::peer_unavailable);
    EXPECT_GE(a_.counter_value("peer_handshakes_rejected_total"), 1U);
    EXPECT_TRUE(b_.inputs.empty());
    EXPECT_TRUE(a_.messages_of_type<peer_connected>().empty());
}

// Guards against delivery of one VM's frames to another VM that now has its address.
TEST_F(net_peer_transport_test, other_vm_at_the_address_is_rejected)
{
    start_both();
    a_.transport->handle(
        peer_send{vm_id{"c"}, b_.transport->address(), "heartbeat", std::make_shared<json>(1)});
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return !a_.messages_of_type<peer_lost>().empty(); }));
    EXPECT_EQ(a_.messages_of_type<peer_lost>()[0].peer, vm_id{"c"});
    EXPECT_TRUE(b_.messages_of_type<peer_frame>().empty());
}

// Guards against memory use controlled by a peer.
TEST_F(net_peer_transport_test, oversized_frame_ends_the_connection)
{
    b_.settings.frame_limit = 2000;
    start_both();
    ASSERT_TRUE(connect_both());
    a_.send(b_, "snapshot", std::string(5000, 'x'));
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return !a_.messages_of_type<peer_lost>().empty(); }));
    EXPECT_EQ(b_.messages_of_type<peer_frame>().size(), 1U);
    EXPECT_EQ(b_.counter_value("peer_frames_malformed_total"), 1U);
}

// Guards against nesting that exhausts the stack.
TEST_F(net_peer_transport_test, deeply_nested_frame_ends_the_connection)
{
    start_both();
    ASSERT_TRUE(connect_both());
    json deep = 1;
    for (int i = 0; i < 100; ++i) {
        deep = json::array({deep});
    }
    a_.send(b_, "snapshot", deep);
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return !a_.messages_of_type<peer_lost>().empty(); }));
    EXPECT_EQ(b_.counter_value("peer_frames_malformed_total"), 1U);
}

// Guards against a newer version's messages ending an older version's connections.
TEST_F(net_peer_transport_test, unknown_kind_is_dropped_and_the_connection_stays)
{
    b_.settings.kinds = {"heartbeat"};
    start_both();
    a_.send(b_, "from_the_future", 1);
    a_.send(b_, "heartbeat", 2);
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return !b_.messages_of_type<peer_frame>().empty(); }));
    EXPECT_EQ(b_.messages_of_type<peer_frame>()[0].kind, "heartbeat");
    EXPECT_EQ(b_.counter_value("peer_frames_unknown_total"), 1U);
    EXPECT_TRUE(a_.messages_of_type<peer_lost>().empty());
}

// Guards against a connection that stops responding and is never closed.
TEST_F(net_peer_transport_test, unresponsive_connection_is_lost_and_reopened)
{
    a_.settings.ping_interval = 10ms;
    a_.settings.ping_timeout = expiring_timeout;
    start_both();
    ASSERT_TRUE(connect_both());
    ASSERT_TRUE(run_nodes_until({&a_}, [&] { return !a_.messages_of_type<peer_lost>().empty(); }));
    EXPECT_EQ(a_.messages_of_type<peer_lost>()[0].peer, vm_id{"b"});
    ASSERT_TRUE(run_nodes_until({&a_, &b_},
                                [&] { return a_.messages_of_type<peer_connected>().size() == 2; }));
    a_.send(b_, "heartbeat", 2);
    EXPECT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return b_.messages_of_type<peer_frame>().size() == 2; }));
}

// Guards against memory that grows with frames for a VM that cannot be reached.
TEST_F(net_peer_transport_test, full_queue_drops_and_counts)
{
    a_.settings.queue_limit = 2;
    start_both();
    for (int i = 0; i < 5; ++i) {
        a_.send(b_, "heartbeat", i);
    }
    EXPECT_EQ(a_.counter_value("peer_frames_dropped_total"), 3U);
    ASSERT_TRUE(
        run_nodes_until({&a_, &b_}, [&] { return b_.messages_of_type<peer_frame>().size() == 2; }));
}

// Guards against a client that does not speak HTTP/2 and keeps its connection open.
TEST_F(net_peer_transport_test, connection_without_http2_or_hello_is_closed)
{
    a_.settings.connect_timeout = expiring_timeout;
    start_both();
    auto garbage = net_testing::connect_to(a_.io, a_.transport->address());
    garbage->write(std::string(200, 'x'));
    auto silent = net_testing::connect_to(a_.io, a_.transport->address());
    EXPECT_TRUE(run_nodes_until({&a_}, [&] { return garbage->closed && silent->closed; }));
    EXPECT_TRUE(a_.inputs.empty());
}

// Guards against frames that go to a VM's earlier process after it was replaced.
TEST_F(net_peer_transport_test, restarted_vm_is_reported_with_its_new_incarnation)
{
    start_both();
    ASSERT_TRUE(connect_both());
    b_.transport.reset();
    ASSERT_TRUE(run_nodes_until({&a_}, [&] { return !a_.messages_of_type<peer_lost>().empty(); }));
    peer_node restarted_node{"b", 10};
    restarted_node.start();
    a_.send(restarted_node, "heartbeat", 1);
    ASSERT_TRUE(run_nodes_until({&a_, &restarted_node}, [&] {
        a_.send(restarted_node, "heartbeat", 1);
        return !restarted_node.messages_of_type<peer_frame>().empty();
    }));
    EXPECT_EQ(a_.messages_of_type<peer_connected>().back().peer.run, 10U);
}

} // namespace
} // namespace wagtailhitch
