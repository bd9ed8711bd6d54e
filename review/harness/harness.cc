#include "harness.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

namespace {

using steady = std::chrono::steady_clock;
const steady::time_point program_start = steady::now();

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t read_limit_kb = 1024;
constexpr std::size_t page_items = 500;
constexpr std::size_t page_bytes = 1'000'000;
constexpr std::size_t record_limit = 262'144;
constexpr int heartbeat_ms = 1200;

bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

/// Appends what arrives to `buffer`. Returns the number of bytes, 0 at the end of the connection
/// and -1 on an error or when nothing arrives until `until`.
ssize_t receive_more(int socket, std::string& buffer, double until)
{
    const double left = until - now_ms();
    pollfd wait{socket, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left) + 1) <= 0) {
        return -1;
    }
    char bytes[16384];
    const ssize_t n = ::recv(socket, bytes, sizeof bytes, 0);
    if (n > 0) {
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
    return n;
}

constexpr double forever = 1e12;

/// Reads one message. `whole` tells whether its end was seen.
bool read_message(int socket, std::string& buffer, message& out, double until, bool is_response,
                  bool& whole)
{
    out = {};
    whole = false;
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (receive_more(socket, buffer, until) <= 0) {
            return false;
        }
    }
    std::istringstream head{buffer.substr(0, end)};
    buffer.erase(0, end + 4);
    std::getline(head, out.start_line);
    if (!out.start_line.empty() && out.start_line.back() == '\r') {
        out.start_line.pop_back();
    }
    for (std::string text; std::getline(head, text);) {
        if (!text.empty() && text.back() == '\r') {
            text.pop_back();
        }
        const auto colon = text.find(':');
        if (colon != std::string::npos) {
            const auto value = text.find_first_not_of(' ', colon + 1);
            out.headers.emplace_back(text.substr(0, colon),
                                     value == std::string::npos ? "" : text.substr(value));
        }
    }
    if (same_name(out.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t line_end = 0;
            while ((line_end = buffer.find("\r\n")) == std::string::npos) {
                if (receive_more(socket, buffer, until) <= 0) {
                    return true;
                }
            }
            const std::size_t size = std::stoul(buffer.substr(0, line_end), nullptr, 16);
            while (buffer.size() < line_end + 2 + size + 2) {
                if (receive_more(socket, buffer, until) <= 0) {
                    return true;
                }
            }
            out.body += buffer.substr(line_end + 2, size);
            buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                whole = true;
                return true;
            }
        }
    }
    const std::string length = out.header("Content-Length");
    if (length.empty() && is_response) {
        while (true) {
            const ssize_t n = receive_more(socket, buffer, until);
            if (n <= 0) {
                out.body = std::exchange(buffer, {});
                whole = n == 0;
                return true;
            }
        }
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (receive_more(socket, buffer, until) <= 0) {
            return true;
        }
    }
    out.body = buffer.substr(0, size);
    buffer.erase(0, size);
    whole = true;
    return true;
}

std::string query_value(const std::string& target, const std::string& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string item = target.substr(at + 1, end - at - 1);
        if (item.starts_with(name + "=")) {
            return item.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

std::string big_endian(std::uint64_t value, int n)
{
    std::string out(static_cast<std::size_t>(n), '\0');
    for (int i = n - 1; i >= 0; --i) {
        out[static_cast<std::size_t>(i)] = static_cast<char>(value & 0xffU);
        value >>= 8U;
    }
    return out;
}

std::string base64(std::string_view raw)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < raw.size(); i += 3) {
        std::uint32_t bits = 0;
        const std::size_t n = std::min<std::size_t>(3, raw.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            bits = (bits << 8U) | (j < n ? static_cast<unsigned char>(raw[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= n ? digits[(bits >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return out;
}

std::string reply_text(unsigned status, const std::string& headers, std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

std::string run_command()
{
    std::ifstream in{"deploy/system.toml"};
    for (std::string text; std::getline(in, text);) {
        const std::string start = "run = \"";
        if (text.starts_with(start)) {
            return text.substr(start.size(), text.rfind('"') - start.size());
        }
    }
    std::cerr << "deploy/system.toml has no run command\n";
    std::exit(2);
}

} // namespace

double now_ms()
{
    return std::chrono::duration<double, std::milli>(steady::now() - program_start).count();
}

void sleep_ms(double time)
{
    if (time > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time));
    }
}

bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

std::uint16_t free_port()
{
    const int it = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ::bind(it, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(it, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(it);
    return ntohs(address.sin_port);
}

std::string record_path()
{
    const char* text = std::getenv("RECORD");
    return text == nullptr ? "record.txt" : text;
}

void record::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ", now_ms());
    const std::lock_guard lock{mutex_};
    out_ << time << text << '\n' << std::flush;
}

std::string message::header(std::string_view name) const
{
    for (const auto& [field, value] : headers) {
        if (same_name(field, name)) {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string message::target() const
{
    const auto begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

bool write_all(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

server::server(handler serve) : serve_{std::move(serve)}
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(listener_, 512) != 0) {
        std::cerr << "cannot listen\n";
        std::exit(2);
    }
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread{[this] { accept_loop(); }};
}

server::~server()
{
    stop();
}

void server::stop()
{
    if (stopped_.exchange(true)) {
        return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock{mutex_};
        for (const int it : sockets_) {
            ::shutdown(it, SHUT_RDWR);
        }
        threads.swap(threads_);
    }
    for (auto& it : threads) {
        it.join();
    }
}

void server::accept_loop()
{
    while (!stopped_) {
        const int it = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (it < 0) {
            if (stopped_) {
                return;
            }
            continue;
        }
        const int on = 1;
        ::setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock{mutex_};
        sockets_.insert(it);
        threads_.emplace_back([this, it] { serve_connection(it); });
    }
}

void server::serve_connection(int socket)
{
    std::string buffer;
    message request;
    bool whole = false;
    while (!stopped_ && read_message(socket, buffer, request, forever, false, whole) && whole) {
        if (!serve_(socket, request)) {
            break;
        }
    }
    const std::lock_guard lock{mutex_};
    sockets_.erase(socket);
    ::close(socket);
}

store_standin::store_standin()
    : server_{std::make_unique<server>(
          [this](int socket, const message& request) { return serve(socket, request); })}
{
}

double store_standin::put(const std::string& topic, const std::string& key,
                          const std::string& value)
{
    if (value.size() + key.size() + 1 > record_limit) {
        std::cerr << "a record exceeds recordBytes\n";
        std::exit(2);
    }
    const std::lock_guard lock{mutex_};
    const std::string raw = std::string(1, static_cast<char>(key.size())) + key + value;
    topics_[topic].push_back({key, value, raw});
    changed_.notify_all();
    return now_ms();
}

std::string store_standin::value(const std::string& topic, const std::string& key) const
{
    const std::lock_guard lock{mutex_};
    const auto it = topics_.find(topic);
    std::string out;
    if (it != topics_.end()) {
        for (const auto& item : it->second) {
            out = item.key == key ? item.value : out;
        }
    }
    return out;
}

double store_standin::last_read(const std::string& topic) const
{
    const std::lock_guard lock{mutex_};
    const auto it = last_reads_.find(topic);
    return it == last_reads_.end() ? 0 : it->second;
}

bool store_standin::serve(int socket, const message& request)
{
    unsigned status = 200;
    std::string body;
    const std::string target = request.target();
    sleep_ms(4);
    if (target.starts_with("/log-append")) {
        body = append(request, status);
    }
    else if (target.starts_with("/log-read")) {
        body = read(request, status);
    }
    else if (target.starts_with("/log-newest")) {
        body = newest(request);
    }
    else {
        status = 404;
    }
    return write_all(socket, reply_text(status, "", body));
}

std::string store_standin::append(const message& request, unsigned& status)
{
    const std::lock_guard lock{mutex_};
    const std::string target = request.target();
    const std::string topic = query_value(target, "topic");
    if (topic == "keyed.op" || topic == "keyed.servers") {
        status = 403;
        return "{}";
    }
    auto& records = topics_[topic];
    const std::string at = query_value(target, "at");
    if (!at.empty() && std::stoull(at) != records.size()) {
        status = 412;
        return json{{"end", records.size()}}.dump();
    }
    const std::size_t offset = records.size();
    std::string_view body = request.body;
    while (body.size() >= 4) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
            size = (size << 8U) | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
        }
        const std::string raw{body.substr(4, size)};
        body.remove_prefix(std::min(body.size(), 4 + size));
        const std::size_t key_size = raw.empty() ? 0 : static_cast<unsigned char>(raw[0]);
        if (topic.starts_with("keyed.") && raw.size() > key_size) {
            records.push_back({raw.substr(1, key_size), raw.substr(1 + key_size), raw});
        }
        else {
            records.push_back({"", "", raw});
        }
    }
    changed_.notify_all();
    return json{{"offset", offset}, {"end", records.size()}}.dump();
}

std::string store_standin::read(const message& request, unsigned& /*status*/)
{
    const std::string target = request.target();
    const std::string topic = query_value(target, "topic");
    const std::size_t from = std::stoull("0" + query_value(target, "from"));
    const std::string most = query_value(target, "maxKb");
    const std::size_t limit = (most.empty() ? read_limit_kb : std::stoull(most)) * kilobyte;
    const auto wait = millis{std::stoll("0" + query_value(target, "waitMs"))};
    std::unique_lock lock{mutex_};
    last_reads_[topic] = now_ms();
    changed_.wait_for(lock, wait, [&] { return topics_[topic].size() > from; });
    const auto& records = topics_[topic];
    std::string out = big_endian(records.size(), 8) + big_endian(0, 8);
    std::size_t bytes = 0;
    for (std::size_t i = from; i < records.size(); ++i) {
        bytes += 4 + records[i].raw.size();
        if (bytes > limit && i > from) {
            break;
        }
        out += big_endian(records[i].raw.size(), 4) + records[i].raw;
    }
    return out;
}

std::string store_standin::newest(const message& request) const
{
    const std::string target = request.target();
    const std::string topic = query_value(target, "topic");
    const std::string after = query_value(target, "after");
    const std::lock_guard lock{mutex_};
    std::map<std::string, std::pair<std::string, std::size_t>> latest;
    std::size_t end = 0;
    if (const auto it = topics_.find(topic); it != topics_.end()) {
        for (const auto& item : it->second) {
            latest[item.key] = {item.value, end++};
        }
    }
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (const auto& [key, item] : latest) {
        if (key <= after || item.first.empty()) {
            continue;
        }
        if (items.size() == page_items || (bytes > 0 && bytes + item.first.size() > page_bytes)) {
            more = true;
            break;
        }
        bytes += item.first.size();
        items.push_back({{"key", key}, {"value", base64(item.first)}, {"offset", item.second}});
    }
    return json{{"items", items}, {"hasMore", more}, {"end", end}}.dump();
}

replica_standin::replica_standin(store_standin& store, record& log, replica_settings settings)
    : store_{store}, log_{log}, settings_{std::move(settings)},
      born_ms_{
          std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch())
              .count()}
{
    server_ = std::make_unique<server>(
        [this](int socket, const message& request) { return serve(socket, request); });
    store_.put("keyed.servers", settings_.id, entry());
    beats_ = std::thread{[this] { beat(); }};
}

replica_standin::~replica_standin()
{
    end();
    beats_.join();
}

std::string replica_standin::entry() const
{
    return json{{"service", settings_.service},
                {"address", server_->address()},
                {"zone", settings_.zone},
                {"version", settings_.version},
                {"slots", settings_.slots},
                {"state", state_},
                {"coldLeftMs", 0},
                {"born", born_ms_},
                {"seq", sequence_}}
        .dump();
}

void replica_standin::beat()
{
    double next = now_ms() + heartbeat_ms;
    while (!ended_) {
        sleep_ms(20);
        if (now_ms() < next) {
            continue;
        }
        next += heartbeat_ms;
        const std::lock_guard lock{mutex_};
        if (registered_ && !ended_) {
            ++sequence_;
            store_.put("keyed.servers", settings_.id, entry());
        }
    }
}

double replica_standin::drain()
{
    const std::lock_guard lock{mutex_};
    state_ = "draining";
    ++sequence_;
    const double at = store_.put("keyed.servers", settings_.id, entry());
    log_.line("replica " + settings_.id + " reports draining");
    return at;
}

double replica_standin::remove_entry()
{
    const std::lock_guard lock{mutex_};
    registered_ = false;
    const double at = store_.put("keyed.servers", settings_.id, "");
    log_.line("entry of replica " + settings_.id + " is removed");
    return at;
}

void replica_standin::end()
{
    if (!ended_.exchange(true)) {
        server_->stop();
        log_.line("replica " + settings_.id + " has ended");
    }
}

std::vector<run_event> replica_standin::arrivals() const
{
    const std::lock_guard lock{mutex_};
    return arrivals_;
}

bool replica_standin::serve(int socket, const message& request)
{
    const std::string target = request.target();
    const std::string attempt = request.header("Attempt-Id");
    if (target == "/healthz") {
        return write_all(socket, reply_text(200, "Replica-Id: " + settings_.id + "\r\n", ""));
    }
    run_event event{now_ms(), settings_.id, settings_.service,        settings_.version,
                    attempt,  target,       request.header("Tenant"), request.header("Model"),
                    true};
    const std::string expected = request.header("Expect-Replica");
    const std::string ids = "Attempt-Id: " + attempt + "\r\n";
    const bool other = !expected.empty() && expected != settings_.id;
    event.run = !other && !attempt.empty();
    {
        const std::lock_guard lock{mutex_};
        arrivals_.push_back(event);
    }
    log_.line("replica " + settings_.id + " (" + settings_.service + " " + settings_.version +
              (event.run ? ") runs " : ") refuses ") + attempt + " " + target +
              " tenant=" + event.tenant + " model=" + event.model);
    if (other) {
        return write_all(socket, reply_text(421, ids + "Replica-Id: " + settings_.id + "\r\n", ""));
    }
    if (attempt.empty()) {
        return write_all(socket, reply_text(400, "Not-Executed: 1\r\n", ""));
    }
    sleep_ms(settings_.work_ms);
    std::string headers = ids + "Replica-Signature: sig-" + settings_.id + "\r\n";
    if (settings_.fails && settings_.fails()) {
        log_.line("replica " + settings_.id + " fails " + attempt);
        return write_all(socket, reply_text(500, headers, "failed"));
    }
    const auto confidence = settings_.confidence.find(event.model);
    if (confidence != settings_.confidence.end()) {
        headers += "Confidence: " + std::to_string(confidence->second) + "\r\n";
    }
    if (!target.starts_with("/stream/")) {
        return write_all(socket, reply_text(200, headers, settings_.id + " for " + event.tenant));
    }
    if (!write_all(socket, "HTTP/1.1 200 OK\r\n" + headers +
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    const std::string last = request.header("Last-Event-Id");
    for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= settings_.events; ++i) {
        const std::string text = "id: " + std::to_string(i) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!write_all(socket, size + text + "\r\n")) {
            return false;
        }
        sleep_ms(settings_.event_pause_ms);
    }
    return write_all(socket, "0\r\n\r\n");
}

vm_process::vm_process(record& log, const std::string& store_address, vm_settings settings)
    : log_{log}, settings_{std::move(settings)}, caller_port_{free_port()}, ready_port_{free_port()}
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        std::cerr << "no temporary directory\n";
        std::exit(2);
    }
    directory_ = path;
    json bounds{{"seedLagS", 3},
                {"reuseAfterS", 2},
                {"stabilityWindowMs", 4000},
                {"ackMs", 5000},
                {"catchUpS", 4},
                {"drainMs", 3000},
                {"graceS", 8},
                {"lossSlackMs", 200},
                {"configApplyMs", 3000},
                {"rollbackSlackMs", 250},
                {"stretchMaxMs", 6000},
                {"strictRevoke", true},
                {"revokeMs", 5000},
                {"retryBudgetRatio", 0.9},
                {"retryWindowS", 10},
                {"retrySlack", 56},
                {"exposureShare", 0.15},
                {"exposureSlack", 30},
                {"rollbackMs", 5000},
                {"recoveryS", 12},
                {"eventDelayMs", 400},
                {"reuseWindowS", 5.9},
                {"sessionTtlS", 5}};
    bounds.update(settings_.bounds);
    const std::uint16_t internal = free_port();
    const json file{{"nodeName", settings_.name},
                    {"role", "router"},
                    {"machineClass", "front"},
                    {"serves", {"front"}},
                    {"ip", "127.0.0.1"},
                    {"zone", settings_.zone},
                    {"region", settings_.zones.at(settings_.zone)},
                    {"zones", settings_.zones},
                    {"listen",
                     {{"front", "127.0.0.1:" + std::to_string(caller_port_)},
                      {"ready", "127.0.0.1:" + std::to_string(ready_port_)}}},
                    {"internalPorts", {internal, internal}},
                    {"seeds", json::array()},
                    {"bootstrap", true},
                    {"countsAsLoss", false},
                    {"limits",
                     {{"cpuShare", 0.25},
                      {"cores", 1},
                      {"memoryMb", 260},
                      {"maxFds", 4100},
                      {"linkMbps", 1000.0},
                      {"diskMb", 0}}},
                    {"dataDir", nullptr},
                    {"discovery", "platform"},
                    {"entry", "vip"},
                    {"heartbeatMs", heartbeat_ms},
                    {"contracts",
                     {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                      "tenants", "platform", "rollout"}},
                    {"bounds", bounds},
                    {"platform",
                     {{"address", store_address},
                      {"form", "log"},
                      {"writesPerS", 400},
                      {"readsPerS", 2000},
                      {"parts", 8},
                      {"appendMs", 4.0},
                      {"partitionMbS", 20.0},
                      {"readMbS", 80.0},
                      {"recordBytes", record_limit},
                      {"requestBytes", 2097152},
                      {"keep_s", 300},
                      {"partitionMb", 200},
                      {"minTtlMs", 1000}}}};
    const std::string config = directory_ + "/boot.json";
    std::ofstream{config} << file.dump(2);
    std::istringstream words{run_command()};
    std::vector<std::string> arguments;
    for (std::string word; words >> word;) {
        arguments.push_back(word);
    }
    if (::access(arguments.front().c_str(), X_OK) != 0) {
        std::cerr << arguments.front() << " is not built\n";
        std::exit(2);
    }
    const std::string output = directory_ + "/log";
    const std::string variable = "WAGTAILHITCH_CONFIG=" + config;
    std::vector<char*> argv;
    for (auto& it : arguments) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
        // Also when this program ends without its destructors.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::string own = variable;
        std::string search = "PATH=/usr/bin:/bin";
        char* environment[] = {own.data(), search.data(), nullptr};
        ::execve(argv[0], argv.data(), environment);
        ::_exit(127);
    }
    log_.line("VM " + settings_.name + " started");
}

vm_process::~vm_process()
{
    if (!ended()) {
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
    else {
        std::cerr << settings_.name << ": " << directory_ << "/log\n";
    }
}

void vm_process::signal(int number) const
{
    ::kill(pid_, number);
}

bool vm_process::ended()
{
    ended_ = ended_ || ::waitpid(pid_, nullptr, WNOHANG) == pid_;
    return ended_;
}

namespace {

int connect_to(std::uint16_t port, int wait_ms)
{
    const int it = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    int failure = ::connect(it, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (failure != 0 && errno == EINPROGRESS) {
        pollfd wait{it, POLLOUT, 0};
        int error = 1;
        socklen_t size = sizeof error;
        if (::poll(&wait, 1, wait_ms) == 1) {
            ::getsockopt(it, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        failure = error;
    }
    if (failure != 0) {
        ::close(it);
        return -1;
    }
    ::fcntl(it, F_SETFL, ::fcntl(it, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return it;
}

} // namespace

bool vm_process::ready() const
{
    const int it = connect_to(ready_port_, 500);
    if (it < 0) {
        return false;
    }
    std::string buffer;
    message got;
    bool whole = false;
    write_all(it, "GET /readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    const bool read = read_message(it, buffer, got, now_ms() + 1000, true, whole);
    ::close(it);
    return read && got.start_line.starts_with("HTTP/1.1 200");
}

void await_ready(record& log, const std::vector<std::unique_ptr<vm_process>>& vms)
{
    const double until = now_ms() + 20'000;
    while (!std::all_of(vms.begin(), vms.end(), [](const auto& it) { return it->ready(); })) {
        if (now_ms() > until) {
            log.line("the VMs are not ready");
            std::cerr << "the VMs are not ready\n";
            std::exit(2);
        }
        sleep_ms(50);
    }
    log.line("all VMs are ready");
}

caller::caller(record& log, std::uint16_t port, std::string name)
    : log_{log}, port_{port}, name_{std::move(name)}
{
}

caller::~caller()
{
    close();
}

bool caller::connect()
{
    socket_ = connect_to(port_, 1000);
    buffer_.clear();
    return socket_ >= 0;
}

void caller::close()
{
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

answer caller::send(const request& wanted)
{
    answer out;
    out.attempt = name_ + "-" + std::to_string(next_id_++);
    if (socket_ >= 0) {
        char byte = 0;
        if (::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
            close();
        }
    }
    if (socket_ < 0 && !connect()) {
        out.sent_at = out.ended_at = now_ms();
        log_.line("client " + name_ + " cannot connect for " + out.attempt);
        return out;
    }
    std::string text = wanted.method + " " + wanted.path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nAttempt-Id: " + out.attempt +
                       "\r\nDeadline-Ms: " + std::to_string(wanted.deadline_ms) + "\r\n";
    if (!wanted.key.empty()) {
        text += "Authorization: Token " + wanted.key + "\r\n";
    }
    for (const auto& [name, value] : wanted.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!wanted.body.empty() || wanted.method != "GET") {
        text += "Content-Length: " + std::to_string(wanted.body.size()) + "\r\n";
    }
    text += "\r\n" + wanted.body;
    out.sent_at = now_ms();
    log_.line("client " + name_ + " sends " + out.attempt + " " + wanted.method + " " +
              wanted.path + " key=" + wanted.key);
    message got;
    bool whole = false;
    const bool read =
        write_all(socket_, text) &&
        read_message(socket_, buffer_, got, out.sent_at + wanted.deadline_ms + 500, true, whole);
    out.ended_at = now_ms();
    if (read) {
        out.status = static_cast<unsigned>(std::stoul(got.start_line.substr(9, 3)));
        out.complete = whole;
        out.signature = got.header("Replica-Signature");
        out.body = got.body;
    }
    if (!read || !whole || same_name(got.header("Connection"), "close")) {
        close();
    }
    log_.line("client " + name_ + " gets for " + out.attempt + ": " +
              (read ? std::to_string(out.status) : std::string{"no answer"}) +
              (whole ? "" : ", incomplete") + " signature=" + out.signature);
    return out;
}

json route(const std::string& name, const std::string& prefix, const std::string& kind,
           const std::string& service)
{
    return {{"name", name},       {"host", host},       {"pathPrefix", prefix},
            {"kind", kind},       {"timeoutMs", 4000},  {"targetLatencyMs", 1500},
            {"priority", 1},      {"service", service}, {"maxAttempts", 3},
            {"anonymous", false}, {"sticky", false},    {"resumable", false},
            {"targetGapMs", 1000}};
}

json service(const std::string& name)
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConns", 360},
            {"protocol", "h1"},
            {"tls", false}};
}

int verdict(record& log, bool broken, const std::string& why)
{
    const std::string text = (broken ? "BROKEN: " : "HELD: ") + why;
    log.line(text);
    std::cout << text << '\n';
    return broken ? 1 : 0;
}

} // namespace review
