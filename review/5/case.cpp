// One request crashes each backend server that begins to run it, and its
// caller sends it again, at any machine.
#include "../standins/world.hpp"

using namespace world;

namespace {

constexpr int servers_count = 8;
constexpr double work_s = 0.09;
constexpr double down_s = 3.0;
constexpr int deadline_ms = 2000;
/** Time after which the caller sends the request again. */
constexpr double again_after_s = 2.0;
constexpr double stable_window_s = 4.0;
constexpr double play_s = 30.0;
/** Retries later than the stable window that the rule allows. */
constexpr int allowed_retries = 3;
constexpr int others = 8;

const char* const config =
    R"({"version":7,"routes":[{"name":"r-lot","host":"hufi27.example",)"
    R"("prefix":"/goka902/","route_type":"idempotent","timeout_ms":2000,)"
    R"("target_latency_ms":400,"priority":2,"service":"kafi81c",)"
    R"("max_attempts":2,"public":false},{"name":"r-mark",)"
    R"("host":"hufi27.example","prefix":"/mark77/",)"
    R"("route_type":"non_idempotent","timeout_ms":2000,)"
    R"("target_latency_ms":400,"priority":2,"service":"kafi81c",)"
    R"("max_attempts":2,"public":false}],"services":[{"name":"kafi81c",)"
    R"("health_path":"/health","max_connections":40,"protocol":"h1",)"
    R"("tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

const std::string fatal_target = "/goka902/lot-13";

struct ledger
{
    std::mutex mutex;
    std::vector<double> crashes;
    /** Attempts that reached a server, with the time of the first arrival. */
    std::map<std::string, double> reached;
    std::set<std::string> ran;
    std::set<std::string> answered;
    std::vector<std::thread> restarts;
    bool over = false;
};
ledger& book()
{
    static ledger all;
    return all;
}

/** Crashes a server as a fatal request does and starts it again later. */
void crash(backend& self)
{
    const std::lock_guard<std::mutex> lock(book().mutex);
    if (book().over) {
        return;
    }
    book().restarts.emplace_back([&self] {
        self.crash();
        sleep_s(down_s);
        self.start();
    });
}

bool answer(backend& self, const std::shared_ptr<stream>& s,
            const message& asked)
{
    const std::string id = asked.header("request-id");
    record().line("run request=" + id + " server=" + self.who().id + " " +
                  asked.target());
    if (asked.target() == fatal_target) {
        {
            const std::lock_guard<std::mutex> lock(book().mutex);
            book().crashes.push_back(now_s());
            book().reached.try_emplace(id, now_s());
        }
        record().line("crash server=" + self.who().id + " request=" + id);
        s->reset_at_close();
        crash(self);
        return false;
    }
    {
        const std::lock_guard<std::mutex> lock(book().mutex);
        book().ran.insert(id);
    }
    sleep_s(work_s);
    return s->write(answer_text("200 OK", id, new_receipt(), "lot " + id));
}

int call(const std::string& ip, const std::string& method,
         const std::string& target, const std::string& id)
{
    const auto s = stream::connect(ip, caller_port);
    if (!s || !s->write(request_text(method, target, "hufi27.example", id,
                                     deadline_ms, ""))) {
        return 0;
    }
    record().line("sent request=" + id + " " + target);
    const message got = s->read_message(deadline_ms / 1000.0 + 1);
    record().line(
        format("answered request=%s status=%d", id.c_str(), got.status()));
    return got.status();
}

} // namespace

int main(int argc, char** argv)
{
    scene here(argc, argv);
    here.platform.put("op/config", config);
    const std::vector<std::string> zones = {"tw-north-a", "tw-north-b",
                                            "tw-north-c"};
    std::vector<std::unique_ptr<backend>> servers;
    for (std::size_t i = 0; i < servers_count; ++i) {
        servers.push_back(std::make_unique<backend>(
            here.platform,
            backend::identity{format("i-7f3a91c%zu", i), "kafi81c",
                              here.address(100 + static_cast<int>(i)), 8080,
                              zones[i % 3], 2},
            answer));
        if (!servers.back()->start()) {
            cannot_run("no free address for a server");
        }
    }
    here.start_machines(zones);
    record().line("all machines are ready");
    sleep_s(stable_window_s + 1);

    const double until = now_s() + play_s;
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < others; ++i) {
        threads.emplace_back([&, i] {
            while (now_s() < until) {
                const std::string id = new_request_id();
                const int status =
                    call(here.machines[i % 3]->ip(), "POST", "/mark77/a", id);
                const std::lock_guard<std::mutex> lock(book().mutex);
                if (status != 200 && book().ran.count(id) != 0) {
                    ++lost;
                    record().line(format("work lost: request=%s began to run "
                                         "and was answered %d",
                                         id.c_str(), status));
                }
            }
        });
    }
    for (std::size_t i = 0; with_trouble() && now_s() < until; ++i) {
        call(here.machines[i % 3]->ip(), "GET", fatal_target, new_request_id());
        sleep_s(again_after_s);
    }
    for (std::thread& t : threads) {
        t.join();
    }
    std::vector<std::thread> restarts;
    {
        const std::lock_guard<std::mutex> lock(book().mutex);
        book().over = true;
        restarts.swap(book().restarts);
    }
    for (std::thread& t : restarts) {
        t.join();
    }
    int late = 0;
    const std::lock_guard<std::mutex> lock(book().mutex);
    if (book().crashes.size() >= 3) {
        const double from = book().crashes[2] + stable_window_s;
        for (const auto& [id, at] : book().reached) {
            late += at > from ? 1 : 0;
        }
    }
    const std::string sum =
        format("%zu crashes; %d retries reached servers later than %.0f s "
               "after the third; %d other requests were lost at work",
               book().crashes.size(), late, stable_window_s, lost.load());
    record().line(sum);
    std::printf("%s\n", sum.c_str());
    return late > allowed_retries ? 1 : 0;
}
