// A small deployment on loopback: three controllers, two proxies, and stand-ins for the platform, its
// runners, the operator and the clients. With TROUBLE=1 the operator raises limits.max_header_bytes; clients
// then send heads of a size that only the new configuration allows. The rule (CONFIG): later than
// config_apply_ms after the acknowledgement no request is handled as only an older version allows.
//
// case FOLDER RECORD: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The deployment: bounds as in the example of DEPLOY.md.
constexpr int kControllers = 3;
constexpr int kProxies = 2;
constexpr int kContactTimeoutMs = 4000;
constexpr int kConfigApplyMs = 3000;
constexpr int kBootMs = 500;
constexpr int kSlots = 8;
constexpr int kControlPort = 18263;
constexpr int kInternalPort = 17680;
constexpr int kFrontendPort = 18269;
constexpr int kReadinessPort = 18266;
constexpr int kPlatformPort = 18262;
constexpr int kFirstRunnerPort = 20000;

// The clients. Heads stay inside limits.max_header_bytes of the configuration in force.
constexpr int kOldLimit = 4096;
constexpr int kNewLimit = 16384;
constexpr int kHeadUnderOldLimit = 3800;
constexpr int kHeadUnderNewLimit = 12000;
constexpr int kRequestsBefore = 60;
constexpr int kRequestsAfter = 200;

const Clock::time_point started_at = Clock::now();
std::mutex record_mutex;
std::ofstream record_file;

void record(const std::string& line) {
    const std::lock_guard lock(record_mutex);
    const double seconds = std::chrono::duration<double>(Clock::now() - started_at).count();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds);
    record_file << time << line << std::endl;
}

[[noreturn]] void cannot_run(const std::string& why);

void sleep_ms(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// ---- addresses: 127.<network>.0.0

int network = 0;

std::string host(int group, int index) {
    return "127." + std::to_string(network) + "." + std::to_string(group) + "." + std::to_string(10 + index);
}
std::string controller_ip(int index) { return host(1, index); }
std::string proxy_ip(int index) { return host(2, index); }
std::string platform_ip() { return host(3, 0); }
std::string runner_ip() { return host(4, 0); }

sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listen_at(const std::string& ip, int port) {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = address_of(ip, port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener, 256) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

// Draws a network whose ports are free.
bool choose_network() {
    std::random_device random;
    for (int tries = 0; tries < 50; ++tries) {
        network = 20 + static_cast<int>(random() % 200);
        bool is_free = true;
        const auto probe = [&is_free](const std::string& ip, int port) {
            const int listener = listen_at(ip, port);
            is_free = is_free && listener >= 0;
            if (listener >= 0) close(listener);
        };
        for (int index = 0; index < kControllers; ++index) {
            probe(controller_ip(index), kControlPort);
            probe(controller_ip(index), kInternalPort);
        }
        for (int index = 0; index < kProxies; ++index) {
            probe(proxy_ip(index), kFrontendPort);
            probe(proxy_ip(index), kReadinessPort);
        }
        probe(platform_ip(), kPlatformPort);
        if (is_free) return true;
    }
    return false;
}

// ---- HTTP/1.1 on blocking sockets

struct Message {
    std::string first_line;
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;

    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9); }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const auto first = first_line.find(' ');
        return first_line.substr(first + 1, first_line.find(' ', first + 1) - first - 1);
    }
};

bool send_all(int socket, const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t n = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads one message that bears its length, or none; false at the end of the connection or of the time.
bool receive(int socket, std::string& buffer, Message& message, int timeout_ms) {
    const auto until = Clock::now() + milliseconds(timeout_ms);
    const auto fill = [&] {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd readable{socket, POLLIN, 0};
        if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) <= 0) return false;
        char bytes[16384];
        const ssize_t n = recv(socket, bytes, sizeof bytes, 0);
        if (n <= 0) return false;
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!fill()) return false;
    message = {};
    std::size_t line_begin = 0;
    while (line_begin < end) {
        const std::size_t line_end = std::min(buffer.find("\r\n", line_begin), end);
        const std::string line = buffer.substr(line_begin, line_end - line_begin);
        line_begin = line_end + 2;
        if (message.first_line.empty()) {
            message.first_line = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) return false;
        std::string name = line.substr(0, colon);
        for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + length)
        if (!fill()) return false;
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

std::string response_text(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int connect_to(const std::string& ip, int port) {
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(ip, port);
    const int yes = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    if (connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return client;
    close(client);
    return -1;
}

// One call on a connection of its own; false if there was no answer.
bool call(const std::string& ip, int port, const std::string& request, Message& answer, int timeout_ms) {
    const int client = connect_to(ip, port);
    if (client < 0) return false;
    std::string buffer;
    const bool answered = send_all(client, request) && receive(client, buffer, answer, timeout_ms);
    close(client);
    return answered;
}

// Serves each connection on a thread of its own until the process ends.
void serve(int listener, const std::function<std::string(const Message&)>& answer) {
    std::thread([listener, answer] {
        for (;;) {
            const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0) return;
            std::thread([client, answer] {
                std::string buffer;
                Message request;
                while (receive(client, buffer, request, 60'000))
                    if (!send_all(client, answer(request))) break;
                close(client);
            }).detach();
        }
    }).detach();
}

std::string json_text(const std::string& json, const std::string& name) {
    const std::size_t at = json.find("\"" + name + "\":\"");
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size() + 4;
    return json.substr(begin, json.find('"', begin) - begin);
}

// ---- the platform and its runners

struct Runner {
    std::string id;
    std::string service;
    std::string worker;
    std::string address;
    int listener = -1;
    Clock::time_point ready_at;
    bool stopped = false;
    std::atomic<int> busy = 0;
};

std::mutex platform_mutex;
std::map<std::string, Runner*> runners;          // by id; live until the process ends
std::map<std::string, Runner*> runner_by_nonce;  // by service and nonce
long newest_fence = 0;
std::mutex runs_mutex;
std::map<std::string, int> runs;  // by attempt id

std::string run_request(Runner& runner, const Message& request) {
    const std::string id = request.field("x-attempt-id");
    const std::string id_field = "X-Attempt-Id: " + id + "\r\n";
    if (request.field("x-expected-runner") != runner.id)
        return response_text(421, id_field + "X-Request-Not-Run: 1\r\n", "");
    if (runner.busy.fetch_add(1) >= kSlots) {
        --runner.busy;
        return response_text(503, id_field + "X-Request-Not-Run: 1\r\n", "");
    }
    {
        const std::lock_guard lock(runs_mutex);
        ++runs[id];
    }
    sleep_ms(20);
    --runner.busy;
    record("run      " + id + " at " + runner.id);
    return response_text(200, id_field + "X-Runner-Seal: seal." + runner.id + "\r\n", "picture of " + id);
}

std::string begin_runner(const Message& request) {
    const std::string service = json_text(request.body, "service");
    const std::string nonce = service + "/" + json_text(request.body, "request_nonce");
    if (service != "preview") return response_text(400, "", "{}");
    Runner*& runner = runner_by_nonce[nonce];
    if (!runner) {
        runner = new Runner;
        const int number = static_cast<int>(runners.size()) + 1;
        runner->id = "i-" + std::to_string(number);
        runner->service = service;
        runner->worker = json_text(request.body, "worker_id");
        runner->address = runner_ip() + ":" + std::to_string(kFirstRunnerPort + number);
        runner->ready_at = Clock::now() + milliseconds(kBootMs);
        runners[runner->id] = runner;
        std::thread([runner, number] {
            std::this_thread::sleep_until(runner->ready_at);
            runner->listener = listen_at(runner_ip(), kFirstRunnerPort + number);
            if (runner->listener >= 0)
                serve(runner->listener,
                      [runner](const Message& message) { return run_request(*runner, message); });
        }).detach();
        record("begin    " + runner->id + " on " + runner->worker);
    }
    return response_text(200, "Content-Type: application/json\r\n",
                         R"({"runner_id":")" + runner->id + R"(","address":")" + runner->address + "\"}");
}

std::string platform_answer(const Message& request) {
    const std::lock_guard lock(platform_mutex);
    const std::string type = "Content-Type: application/json\r\n";
    if (request.target().starts_with("/runners")) {
        std::string rows;
        for (const auto& [id, runner] : runners) {
            if (runner->stopped || Clock::now() < runner->ready_at + milliseconds(400)) continue;
            rows += (rows.empty() ? "" : ",") + (R"({"service":")" + runner->service) + R"(","address":")" +
                    runner->address + R"(","zone":"z0","version":"v1","concurrency_slots":)" +
                    std::to_string(kSlots) + R"(,"state":"ready","cold_remaining_ms":0,"runner_id":")" + id +
                    R"(","worker_id":")" + runner->worker + "\"}";
        }
        return response_text(200, type, "{\"instances\":[" + rows + "],\"next_page_token\":null}");
    }
    if (request.target() == "/v1/workers")
        return response_text(
            200, type,
            R"({"workers":[{"name":"w-0","zone":"z0","memory_mb":8192,"free_memory_mb":8192,"state":"ready"}]})");
    const long fence = std::atol(request.field("x-fence-number").c_str());
    if (fence < newest_fence) return response_text(409, type, "{}");
    newest_fence = fence;
    if (request.target() == "/v1/begin") return begin_runner(request);
    const auto found = runners.find(json_text(request.body, "runner_id"));
    if (found == runners.end()) return response_text(404, type, "{}");
    if (!found->second->stopped) {
        record("stop     " + found->first);
        found->second->stopped = true;
        shutdown(found->second->listener, SHUT_RDWR);
    }
    return response_text(200, type, "{}");
}

// ---- the system's processes

std::vector<pid_t> processes;

void end_processes() {
    for (const pid_t process : processes) kill(process, SIGKILL);
    for (const pid_t process : processes) waitpid(process, nullptr, 0);
    processes.clear();
}

void cannot_run(const std::string& why) {
    record("the case could not run: " + why);
    std::fprintf(stderr, "%s\n", why.c_str());
    end_processes();
    std::_Exit(2);
}

void start_process(const std::string& folder, const std::string& name, bool is_controller, int index) {
    const std::string ip = is_controller ? controller_ip(index) : proxy_ip(index);
    const std::filesystem::path own = std::filesystem::path(folder) / name;
    std::filesystem::create_directories(own);
    std::ofstream settings(own / "settings.conf");
    std::string seeds;
    for (int each = 0; each < kControllers; ++each)
        seeds += (each > 0 ? "," : "") + controller_ip(each) + ":" + std::to_string(kControlPort);
    settings
        << "node_name=" << name << "\nmachine_class=" << (is_controller ? "core" : "frontend")
        << "\nip_address=" << ip << "\nzone=z0\nregion=r\nzones.z0=r\ninternal_port_range=" << kInternalPort
        << "," << kInternalPort + 15 << "\nseed_addresses=" << seeds
        << "\ninitial_start=true\nlimits.memory_mb=260\nlimits.file_descriptors=4100"
        << "\nfault_tolerance.machines=1\nbounds.contact_timeout_ms=" << kContactTimeoutMs
        << "\nbounds.config_apply_ms=" << kConfigApplyMs
        << "\nbounds.acknowledge_timeout_ms=5000\nbounds.catch_up_s=4\nbounds.grace_period_s=6"
        << "\nbounds.drain_timeout_ms=3000\nbounds.reuse_after_s=2\nbounds.retry_budget_ratio=0.2"
        << "\nbounds.budget_window_s=10\nbounds.retry_budget_slack=58\nbounds.rejection_slack=10"
        << "\nconfig_mode=highest\nplatform_api.address=" << platform_ip() << ":" << kPlatformPort
        << "\nplatform_api.rate_per_s=27.0\nplatform_api.max_lag_ms=800\nplatform_api.duty_per_s=150.0\n";
    if (is_controller)
        settings << "serves=control_plane\ncounts_as_loss=true\nlisten_addresses.control_plane=" << ip << ":"
                 << kControlPort << "\ndata_directory=" << (own / "disk").string() << "\n";
    else
        settings << "serves=frontend\ncounts_as_loss=false\nlisten_addresses.frontend=" << ip << ":"
                 << kFrontendPort << "\nlisten_addresses.readiness=" << ip << ":" << kReadinessPort << "\n";
    settings.close();
    const std::string log = (own / "log").string();
    const std::string variable = "GANNETHOLD_CONFIG=" + (own / "settings.conf").string();
    const pid_t process = fork();
    if (process == 0) {
        const int output = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
        dup2(output, 1);
        dup2(output, 2);
        const char* const program =
            is_controller ? "target/gannethold-controller" : "target/gannethold-proxy";
        const char* const arguments[] = {program, nullptr};
        const char* const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
        execve(program, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(127);
    }
    processes.push_back(process);
}

// ---- the operator

// Each version has the route of the one before; version 2 adds "/added/", which tells that it is in force.
std::string configuration(int version, int max_header_bytes) {
    const std::string rest =
        R"("host":"h.example","route_kind":"idempotent","timeout_ms":4000,"target_latency_ms":400,)"
        R"("priority":1,"service":"preview","max_attempts":2})";
    std::string routes = R"({"name":"first","path_prefix":"/first/",)" + rest;
    if (version > 1) routes += R"(,{"name":"added","path_prefix":"/added/",)" + rest;
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
           R"(],"services":[{"name":"preview","health_path":null,"connection_limit":137,"protocol":"h1",)"
           R"("tls_enabled":false,"memory_mb":512,"boot_duration_ms":500,"max_concurrency":8}],)"
           R"("limits":{"max_header_bytes":)" +
           std::to_string(max_header_bytes) +
           R"(,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// Sends the configuration until it is acknowledged, to one controller after the other.
void put_configuration(int version, int max_header_bytes) {
    const std::string body = configuration(version, max_header_bytes);
    const std::string request =
        "PUT /v1/configuration HTTP/1.1\r\nHost: core\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    record("put      version " + std::to_string(version) + ", max_header_bytes " +
           std::to_string(max_header_bytes));
    for (int tries = 0; tries < 60; ++tries) {
        Message answer;
        if (call(controller_ip(tries % kControllers), kControlPort, request, answer, 1000) &&
            answer.status() == 200) {
            record("acked    version " + std::to_string(version));
            return;
        }
        sleep_ms(150);
    }
    cannot_run("version " + std::to_string(version) + " was not acknowledged");
}

// ---- the clients

int last_attempt = 0;

// Sends one request with a head of that many bytes; returns the status, 0 if there was no answer.
int request(int proxy, const std::string& path, int head_bytes, int& runs_of_it) {
    const std::string id = "try-" + std::to_string(++last_attempt);
    std::string head = "GET " + path + id + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
                       "\r\nX-Deadline-Remaining: 4000\r\nCookie: session=";
    constexpr int kEndBytes = 4;
    if (static_cast<int>(head.size()) + kEndBytes < head_bytes)
        head.append(static_cast<std::size_t>(head_bytes) - head.size() - kEndBytes, 'c');
    head += "\r\n\r\n";
    Message answer;
    const int status = call(proxy_ip(proxy), kFrontendPort, head, answer, 4500) ? answer.status() : 0;
    {
        const std::lock_guard lock(runs_mutex);
        runs_of_it = runs[id];
    }
    record("answered " + id + " " + path + " head of " + std::to_string(head.size()) + " bytes, proxy " +
           std::to_string(proxy) + ": " + std::to_string(status) + ", runs " + std::to_string(runs_of_it));
    return status;
}

void wait_until_served(int proxy, const std::string& path) {
    for (int tries = 0; tries < 100; ++tries) {
        int runs_of_it = 0;
        if (request(proxy, path, 0, runs_of_it) == 200) return;
        sleep_ms(100);
    }
    cannot_run("proxy " + std::to_string(proxy) + " does not serve " + path);
}

struct Counts {
    int sent = 0;
    int served = 0;
    int refused_4xx = 0;
    int other = 0;
};

Counts send_requests(int count, int head_bytes) {
    Counts counts;
    for (int n = 0; n < count; ++n) {
        int runs_of_it = 0;
        const int status = request(n % kProxies, "/first/", head_bytes, runs_of_it);
        ++counts.sent;
        if (status == 200)
            ++counts.served;
        else if (status >= 400 && status < 500 && status != 408 && status != 421 && status != 429)
            ++counts.refused_4xx;
        else
            ++counts.other;
        sleep_ms(10);
    }
    return counts;
}

std::string text(const Counts& counts) {
    return std::to_string(counts.sent) + " sent, " + std::to_string(counts.served) + " served, " +
           std::to_string(counts.refused_4xx) + " refused with a 4xx, " + std::to_string(counts.other) +
           " other";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) return 2;
    signal(SIGPIPE, SIG_IGN);
    const std::string folder = argv[1];
    record_file.open(argv[2]);
    const char* const trouble_text = std::getenv("TROUBLE");
    const bool trouble = !trouble_text || std::string(trouble_text) != "0";
    if (!choose_network()) cannot_run("no free loopback network");
    const int platform = listen_at(platform_ip(), kPlatformPort);
    if (platform < 0) cannot_run("the platform cannot listen");
    serve(platform, platform_answer);
    for (int index = 0; index < kControllers; ++index)
        start_process(folder, "core-" + std::to_string(index), true, index);
    for (int index = 0; index < kProxies; ++index)
        start_process(folder, "frontend-" + std::to_string(index), false, index);
    record(trouble ? "TROUBLE=1: the configuration changes" : "TROUBLE=0: no change of the configuration");
    sleep_ms(1000);
    put_configuration(1, kOldLimit);
    for (int proxy = 0; proxy < kProxies; ++proxy) wait_until_served(proxy, "/first/");
    sleep_ms(kContactTimeoutMs + 1000);  // from here on all machines are in touch
    const Counts before = send_requests(kRequestsBefore, kHeadUnderOldLimit);
    record("before   " + text(before));
    if (before.served < kRequestsBefore * 9 / 10) cannot_run("the deployment does not serve");
    if (trouble) put_configuration(2, kNewLimit);
    sleep_ms(kConfigApplyMs + 1000);
    if (trouble)
        for (int proxy = 0; proxy < kProxies; ++proxy) wait_until_served(proxy, "/added/");
    const Counts after = send_requests(kRequestsAfter, trouble ? kHeadUnderNewLimit : kHeadUnderOldLimit);
    record("after    " + text(after));
    // DENIED has the laxest bound of the two rules: 5 and one in 500 of all requests.
    const int allowed = 5 + (before.sent + after.sent) / 500;
    const bool broken = after.refused_4xx > allowed;
    record(std::string("the rule was ") + (broken ? "broken" : "kept") + ": " +
           std::to_string(after.refused_4xx) + " proper requests refused with a 4xx, " +
           std::to_string(allowed) + " are allowed");
    end_processes();
    record_file.flush();
    std::_Exit(broken ? 1 : 0);
}
