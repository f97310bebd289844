// Stand-in for a plain service that counts what it runs.
//
// Usage: standin-service ADDRESS PORT [DELAY_MS]
// Every call outside the control paths is one execution under its
// `Idempotency-Key`, or else its `X-Request-Id`. The reply names the key and
// the number of executions so far.
// `GET /executions` returns the counts per key and per `X-Request-Id`.
// `POST /control` {"mode": ..., "delay_ms": N} sets the failure mode:
// `up`, `refuse` (503 before it runs), `lose_reply` (runs, then cuts the
// connection without a reply), `fail` (runs, then replies 500), `leaving`.

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>

using nlohmann::json;

namespace {

enum class Mode { Up, Refuse, LoseReply, Fail, Leaving };

Mode parseMode(const std::string &Name) {
  if (Name == "refuse")
    return Mode::Refuse;
  if (Name == "lose_reply")
    return Mode::LoseReply;
  if (Name == "fail")
    return Mode::Fail;
  return Name == "leaving" ? Mode::Leaving : Mode::Up;
}

/// Reads a body; of a form with parts, the contents of the parts.
std::string readBody(const httplib::Request &Request,
                     const httplib::ContentReader &Reader) {
  std::string Body;
  const auto Append = [&Body](const char *Data, std::size_t Size) {
    Body.append(Data, Size);
    return true;
  };
  if (Request.is_multipart_form_data())
    Reader([](const httplib::MultipartFormData &) { return true; }, Append);
  else
    Reader(Append);
  return Body;
}

class Service {
public:
  void serve(const httplib::Request &Request, const std::string &Body,
             httplib::Response &Response) {
    const Mode Current = State;
    if (const double Named = LimitPerSecond; Named > 0)
      Response.set_header("Server-Limit", fmt::format("{:.1f}", Named));
    if (Current == Mode::Refuse || Current == Mode::Leaving) {
      Response.status = 503;
      Response.set_header("Retry-After", "1");
      if (Current == Mode::Leaving)
        Response.set_header("X-Leaving", "true");
      return;
    }
    const std::string Key = keyOf(Request);
    const int Count =
        countExecution(Key, Request.get_header_value("X-Request-Id"));
    std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
    if (Current == Mode::LoseReply) {
      cutReply(Response);
      return;
    }
    Response.status = Current == Mode::Fail ? 500 : 200;
    const json Reply{{"key", Key},
                     {"execution", Count},
                     {"path", Request.path},
                     {"body_bytes", Body.size()},
                     {"content_type", Request.get_header_value("Content-Type")},
                     {"echo", Body}};
    Response.set_content(
        Reply.dump(-1, ' ', false, json::error_handler_t::replace),
        "application/json");
  }

  void control(const json &Change) {
    if (!Change.is_object())
      return;
    if (Change.contains("mode"))
      State = parseMode(Change["mode"]);
    if (Change.contains("delay_ms"))
      DelayMs = Change["delay_ms"].get<int>();
    if (Change.contains("limit"))
      LimitPerSecond = Change["limit"].get<double>();
  }

  json executions() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return {{"keys", Counts}, {"requests", RequestCounts}};
  }

private:
  static std::string keyOf(const httplib::Request &Request) {
    const std::string Key = Request.get_header_value("Idempotency-Key");
    return Key.empty() ? Request.get_header_value("X-Request-Id") : Key;
  }

  int countExecution(const std::string &Key, const std::string &RequestId) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++RequestCounts[RequestId];
    return ++Counts[Key];
  }

  /// Announces one byte and closes the connection without sending it.
  static void cutReply(httplib::Response &Response) {
    Response.set_content_provider(
        1, "application/json",
        [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
  }

  std::atomic<Mode> State{Mode::Up};
  std::atomic<int> DelayMs{0};
  /// Limit named in responses; 0 for none.
  std::atomic<double> LimitPerSecond{0};
  std::mutex Mutex;
  std::map<std::string, int> Counts;
  std::map<std::string, int> RequestCounts;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 3) {
    fmt::print(stderr, "usage: standin-service ADDRESS PORT [DELAY_MS]\n");
    return 2;
  }
  Service Desk;
  if (ArgumentCount > 3)
    Desk.control({{"delay_ms", std::atoi(Arguments[3])}});
  httplib::Server Server;
  constexpr std::size_t Threads = 256;
  Server.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
  Server.set_tcp_nodelay(true);
  Server.Get("/executions", [&Desk](const httplib::Request &,
                                    httplib::Response &Response) {
    Response.set_content(Desk.executions().dump(), "application/json");
  });
  const auto Any = [&Desk](const httplib::Request &Request,
                           httplib::Response &Response,
                           const httplib::ContentReader &Reader) {
    const std::string Body = readBody(Request, Reader);
    if (Request.path == "/control")
      Desk.control(json::parse(Body, nullptr, false));
    else
      Desk.serve(Request, Body, Response);
  };
  Server.Get("/.*", [&Desk](const httplib::Request &Request,
                            httplib::Response &Response) {
    Desk.serve(Request, "", Response);
  });
  Server.Post("/.*", Any);
  Server.Put("/.*", Any);
  return Server.listen(Arguments[1], std::atoi(Arguments[2])) ? 0 : 1;
}
