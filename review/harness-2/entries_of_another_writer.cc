// Another writer leaves one entry for each replica of a service, with a service that isn't named in the
// configuration. The replicas go on writing their own entries. Judges the gate's rule Starved.
//
//   entries_of_another_writer ROOT CASE_FOLDER TEMPORARY_FOLDER

#include "lab.hh"

namespace {

using namespace lab;

constexpr auto heartbeat = 1200ms;
constexpr auto calm = 5s;
constexpr auto after = 40s;
constexpr auto interval = 100ms;
constexpr int reads_per_publish = 4; // the sheet's share of index-publish is a fifth

struct shares {
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    double share() const { return asked == 0 ? 0 : static_cast<double>(served) / asked; }
};

std::string read_request(const std::string& request)
{
    return "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + request +
           "\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-1\r\n\r\n";
}

std::string two_services()
{
    const auto route = [](const std::string& name, const std::string& kind,
                          const std::string& service, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"pathPrefix\":\"/" + name +
               "/\",\"kind\":\"" + kind +
               "\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\"service\":\"" + service +
               "\",\"maxAttempts\":" + std::to_string(attempts) + ",\"priority\":2}";
    };
    return "{\"version\":1,\"routes\":[" + route("publish", "non_idempotent", "app", 1) + "," +
           route("read", "idempotent", "pages", 2) +
           "],\"services\":[{\"name\":\"app\"},{\"name\":\"pages\"}],\"tenants\":" + one_tenant +
           ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}";
}

void ask(std::uint16_t port, const std::string& request, const std::string& bytes, shares& counts,
         record& log)
{
    ++counts.asked;
    const auto it = connection::open(port);
    if (!it) {
        return;
    }
    it->set_timeout(6s);
    it->send(bytes);
    const auto answer = it->read();
    const int status = answer ? answer->status() : 0;
    counts.served += status == 200 ? 1 : 0;
    log.write("client got " + std::to_string(status) + " for " + request);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        return not_run;
    }
    record log{std::string{argv[2]} + "/record.txt"};
    const bool trouble = with_trouble();
    auto& platform = *new store;
    std::vector<std::unique_ptr<replica>> apps;
    for (int i = 0; i < 3; ++i) {
        apps.push_back(std::make_unique<replica>("i-app-" + std::to_string(i), 30ms, log));
    }
    replica pages{"i-pages", 30ms, log};
    platform.put("keyed.servers", pages.id(), pages.announcement("pages", 64));
    platform.put("keyed.op", "config", two_services());
    std::atomic<bool> stop{false};
    std::mutex writing;
    int sequence = 1;
    const auto write_entries = [&] {
        const std::lock_guard lock{writing};
        for (const auto& it : apps) {
            platform.put("keyed.servers", it->id(), it->announcement("app", 6, sequence));
        }
        ++sequence;
    };
    write_entries();
    std::thread heartbeats{[&] {
        while (!stop) {
            std::this_thread::sleep_for(heartbeat);
            write_entries();
        }
    }};
    shares publishes;
    shares reads;
    bool ready = false;
    std::atomic<int> served_before{0};
    std::atomic<int> served_late{0};
    {
        vm node{argv[1], argv[3], platform.port(), 260};
        ready = node.wait_until_ready();
        std::this_thread::sleep_for(ready ? 5s : 0s); // longer than stabilityWindowMs
        const auto began = steady::now();
        bool written = !trouble;
        std::vector<std::thread> running;
        for (int i = 0; ready && steady::now() < began + calm + after; ++i) {
            if (!written && steady::now() >= began + calm) {
                written = true;
                const std::lock_guard lock{writing};
                for (const auto& it : apps) {
                    platform.put("keyed.servers", it->id(),
                                 it->announcement("no-such-service", 6, 1000));
                }
                log.write("another writer has left an entry for each replica of app");
            }
            const bool late = steady::now() >= began + calm + after - 10s;
            const bool early = steady::now() < began + calm;
            running.emplace_back([&, i, late, early] {
                const std::string request = "publish-" + std::to_string(i);
                const int before = publishes.served;
                ask(node.callers(), request, publish(request, "revision"), publishes, log);
                served_late += late && publishes.served > before ? 1 : 0;
                served_before += early && publishes.served > before ? 1 : 0;
                for (int j = 0; j < reads_per_publish; ++j) {
                    const std::string read = "read-" + std::to_string(i) + "-" + std::to_string(j);
                    ask(node.callers(), read, read_request(read), reads, log);
                }
            });
            std::this_thread::sleep_for(interval);
            if (running.size() > 20) {
                running.front().join();
                running.erase(running.begin());
            }
        }
        for (auto& it : running) {
            it.join();
        }
    }
    stop = true;
    heartbeats.join();
    const double all = static_cast<double>(publishes.served + reads.served) /
                       std::max(1, publishes.asked + reads.asked);
    std::ostringstream result;
    result << "publish: served " << publishes.served << " of " << publishes.asked << " ("
           << served_late << " in the last 10 s), read: served " << reads.served << " of "
           << reads.asked;
    log.write(result.str());
    std::cout << result.str() << std::endl;
    if (!ready || served_before == 0) {
        std::_Exit(not_run);
    }
    std::_Exit(publishes.share() < all / 4 ? broken : held);
}
