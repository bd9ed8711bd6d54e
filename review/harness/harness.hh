#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the review cases: the platform's store, replicas, callers and the platform that
// starts VMs. Everything listens on 127.0.0.1 and uses the real clock.
//
//   record log{"record.txt"};
//   store_standin store;
//   replica_standin replica{store, log, {.id = "i-1", .service = "app"}};
//   vm_process vm{log, store, {.name = "vm-1", .zone = "a"}};
//   caller client{log, vm.caller_port()};
//   answer got = client.send({.method = "GET", .path = "/read/1", .key = "k1"});

namespace review {

using json = nlohmann::json;
using millis = std::chrono::milliseconds;

/// Milliseconds of the steady clock since the program started.
double now_ms();
void sleep_ms(double time);
/// False when the environment says TROUBLE=0.
bool with_trouble();
/// A free TCP port of 127.0.0.1.
std::uint16_t free_port();

/// Path of record.txt, from the variable RECORD.
std::string record_path();

/// Writes record.txt.
class record {
public:
    explicit record(const std::string& path) : out_{path} {}
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

/// A server with one thread for each connection.
class server {
public:
    /// Serves one request; returns false to close the connection.
    using handler = std::function<bool(int socket, const message& request)>;

    explicit server(handler serve);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    /// Closes the listening socket and all connections, as the end of a process does.
    void stop();

private:
    void accept_loop();
    void serve_connection(int socket);

    handler serve_;
    int listener_{-1};
    std::uint16_t port_{0};
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::set<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

bool write_all(int socket, std::string_view bytes);

/// The platform's store in its log form: each topic has partition 0 only.
class store_standin {
public:
    store_standin();
    [[nodiscard]] std::string address() const { return server_->address(); }
    /// Appends a keyed record; an empty value drops the key. Returns the time of acknowledgement.
    double put(const std::string& topic, const std::string& key, const std::string& value);
    /// Newest value of a key; empty if there is none.
    [[nodiscard]] std::string value(const std::string& topic, const std::string& key) const;
    /// Time of the last read of a topic by a VM; 0 before the first.
    [[nodiscard]] double last_read(const std::string& topic) const;

private:
    struct record_entry {
        std::string key;
        std::string value;
        std::string raw; ///< as stored: key length, key, value
    };
    bool serve(int socket, const message& request);
    std::string append(const message& request, unsigned& status);
    std::string read(const message& request, unsigned& status);
    std::string newest(const message& request) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<record_entry>> topics_;
    std::map<std::string, double> last_reads_;
    std::unique_ptr<server> server_;
};

struct run_event {
    double at{0}; ///< when the request had arrived at the replica
    std::string replica;
    std::string service;
    std::string version;
    std::string attempt;
    std::string path;
    std::string tenant;
    std::string model;
    bool run{false}; ///< false: answered as not run
};

struct replica_settings {
    std::string id;
    std::string service;
    std::string zone{"a"};
    std::string version{"v1"};
    unsigned slots{64};
    int work_ms{20};
    int events{4}; ///< of a stream
    int event_pause_ms{20};
    /// Value of the Confidence header for a model; empty: no header.
    std::map<std::string, int> confidence{};
    /// Whether this run of a request fails with status 500.
    std::function<bool()> fails{};
};

/// A replica: registers in the store, runs requests and answers them.
class replica_standin {
public:
    replica_standin(store_standin& store, record& log, replica_settings settings);
    ~replica_standin();

    [[nodiscard]] const replica_settings& settings() const { return settings_; }
    /// Writes the entry with the state `draining` and continues to serve.
    double drain();
    /// Removes the entry without a word and continues to serve. Returns the acknowledgement's time.
    double remove_entry();
    /// Ends the process: closes all connections.
    void end();
    [[nodiscard]] std::vector<run_event> arrivals() const;

private:
    bool serve(int socket, const message& request);
    void beat();
    [[nodiscard]] std::string entry() const;

    store_standin& store_;
    record& log_;
    replica_settings settings_;
    std::int64_t born_ms_;
    mutable std::mutex mutex_;
    std::vector<run_event> arrivals_;
    std::string state_{"ready"};
    bool registered_{true};
    std::uint64_t sequence_{0};
    std::atomic<bool> ended_{false};
    std::unique_ptr<server> server_;
    std::thread beats_;
};

struct vm_settings {
    std::string name;
    std::string zone{"a"};
    std::map<std::string, std::string> zones{{"a", "south"}, {"b", "south"}, {"c", "north"}};
    json bounds = json::object(); ///< replaces single default bounds
};

/// One VM: the program of deploy/system.toml with a settings file in a temporary directory.
class vm_process {
public:
    vm_process(record& log, const std::string& store_address, vm_settings settings);
    ~vm_process();
    vm_process(const vm_process&) = delete;
    vm_process& operator=(const vm_process&) = delete;

    [[nodiscard]] std::uint16_t caller_port() const { return caller_port_; }
    [[nodiscard]] const std::string& name() const { return settings_.name; }
    void signal(int number) const;
    [[nodiscard]] bool ended();
    [[nodiscard]] bool ready() const;

private:
    record& log_;
    vm_settings settings_;
    std::string directory_;
    std::uint16_t caller_port_;
    std::uint16_t ready_port_;
    int pid_{-1};
    bool ended_{false};
};

/// Waits until all VMs report that they are ready. Ends the program with status 2 after 20 s.
void await_ready(record& log, const std::vector<std::unique_ptr<vm_process>>& vms);

struct request {
    std::string method{"GET"};
    std::string path;
    std::string key;
    std::string body{};
    std::vector<std::pair<std::string, std::string>> headers{};
    int deadline_ms{4000};
};

struct answer {
    std::string attempt;
    double sent_at{0};
    double ended_at{0};
    unsigned status{0}; ///< 0: no answer
    bool complete{false};
    std::string signature;
    std::string body;
};

/// A client with one kept connection. Each request has its own id.
class caller {
public:
    caller(record& log, std::uint16_t port, std::string name);
    ~caller();
    answer send(const request& wanted);

private:
    bool connect();
    void close();

    record& log_;
    std::uint16_t port_;
    std::string name_;
    int socket_{-1};
    std::string buffer_;
    std::uint64_t next_id_{1};
};

/// The host of all routes.
inline constexpr const char* host = "app.example";

json route(const std::string& name, const std::string& prefix, const std::string& kind,
           const std::string& service);
json service(const std::string& name);

/// Prints the verdict, writes it to the record and returns the exit status.
int verdict(record& log, bool broken, const std::string& why);

} // namespace review
