// Stand-in for a model engine: chat/completions with server-sent events.
//
// Usage: standin-engine ADDRESS PORT [OPTIONS]
// OPTIONS is a JSON object: `ms_per_token` (20), `batch` (8), `slots` (256),
// `load_lag_ms` (500). Tokens slow down in proportion once more than `batch`
// requests run; more than `slots` requests wait inside the engine.
// The answer depends on the prompt alone, so that every caller can check it.
// `actual_tokens` in the request overrides `max_tokens` as the true length,
// and `token_bytes` pads each token.
// `Last-Event-ID: N` resumes after event N. A prompt that holds "CRASH" ends
// the process. A request whose client has left stops at its next token.
// `GET /v1/load` reports the state of `load_lag_ms` ago.
// PORT + 1 serves the control calls, so that they never wait for requests:
// `GET /control/load` reports the present state,
// `POST /control/leave` makes it refuse new work; `POST /control/stall` stops
// all tokens until `POST /control/resume`.

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <thread>

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using Millis = std::chrono::duration<double, std::milli>;

namespace {

constexpr int CrashStatus = 86;
constexpr Millis StallPoll{20};
constexpr Millis TimeToCrash{50};

struct Options {
  double MillisPerToken = 20;
  int Batch = 8;
  int Slots = 256;
  double LoadLag = 500;
};

struct Job {
  std::string Prompt;
  long MaxTokens = 16;
  long ResumeAfter = 0;
  std::size_t TokenBytes = 0;
  bool Stream = false;
};

/// Counts running requests and the share of time that the batch was in use.
class Engine {
public:
  explicit Engine(const Options &Settings) : Settings(Settings) {}

  void begin() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    account();
    ++Running;
    ++Started;
  }
  void end() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    account();
    --Running;
    ++Ended;
  }

  void waitForToken() {
    std::this_thread::sleep_for(tokenTime());
    while (Stalled)
      std::this_thread::sleep_for(StallPoll);
    ++Tokens;
  }

  json load() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    account();
    const auto Now = SteadyClock::now();
    Reports.push_back({Now, report()});
    while (Reports.size() > 1 &&
           Now - Reports[1].At >= Millis(Settings.LoadLag))
      Reports.pop_front();
    return Reports.front().Content;
  }
  json currentLoad() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    account();
    return report();
  }

  std::atomic<bool> Leaving{false};
  std::atomic<bool> Stalled{false};

private:
  struct Report {
    SteadyClock::time_point At;
    json Content;
  };

  Millis tokenTime() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const double Load = Running / static_cast<double>(Settings.Batch);
    return Millis(Settings.MillisPerToken * std::max(1.0, Load));
  }

  void account() {
    const auto Now = SteadyClock::now();
    BusySlotMillis +=
        Millis(Now - Counted).count() * std::min(Running, Settings.Batch);
    Counted = Now;
  }

  json report() const {
    return {{"running", Running},
            {"started", Started},
            {"ended", Ended},
            {"tokens", Tokens.load()},
            {"batch", Settings.Batch},
            {"slots", Settings.Slots},
            {"busy_slot_ms", BusySlotMillis},
            {"leaving", Leaving.load()}};
  }

  Options Settings;
  std::mutex Mutex;
  int Running = 0;
  long Started = 0;
  long Ended = 0;
  std::atomic<long> Tokens{0};
  double BusySlotMillis = 0;
  SteadyClock::time_point Counted = SteadyClock::now();
  std::deque<Report> Reports;
};

std::string tokenText(const Job &Work, long Index) {
  const std::size_t Hash = std::hash<std::string>()(Work.Prompt);
  std::string Text =
      fmt::format("t{}-{:x} ", Index, (Hash + Index * 7919) % 0xffff);
  if (Text.size() < Work.TokenBytes)
    Text.append(Work.TokenBytes - Text.size(),
                static_cast<char>('a' + Index % 26));
  return Text;
}

json usageOf(const Job &Work) {
  return {{"prompt_tokens", Work.Prompt.size() / 4},
          {"completion_tokens", Work.MaxTokens}};
}

std::string eventText(const Job &Work, long Index) {
  json Event{
      {"object", "chat.completion.chunk"},
      {"choices",
       {{{"index", 0}, {"delta", {{"content", tokenText(Work, Index)}}}}}}};
  if (Index == Work.MaxTokens)
    Event["usage"] = usageOf(Work);
  return fmt::format("id: {}\ndata: {}\n\n", Index, Event.dump());
}

std::string wholeText(const Job &Work) {
  std::string Content;
  for (long Index = 1; Index <= Work.MaxTokens; ++Index)
    Content += tokenText(Work, Index);
  const json Body{
      {"object", "chat.completion"},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", Content}}}}}},
      {"usage", usageOf(Work)}};
  return Body.dump();
}

bool parseJob(const httplib::Request &Request, Job &Work) {
  const json Body = json::parse(Request.body, nullptr, false);
  if (!Body.is_object() || !Body.contains("messages"))
    return false;
  for (const json &Message : Body["messages"])
    Work.Prompt += Message.value("content", "");
  Work.MaxTokens = Body.value("max_tokens", Work.MaxTokens);
  Work.MaxTokens = Body.value("actual_tokens", Work.MaxTokens);
  Work.TokenBytes = Body.value("token_bytes", Work.TokenBytes);
  Work.Stream = Body.value("stream", false);
  Work.ResumeAfter = std::strtol(
      Request.get_header_value("Last-Event-ID").c_str(), nullptr, 10);
  return true;
}

void streamJob(Engine &Model, const Job &Work, httplib::Response &Response) {
  Response.set_chunked_content_provider(
      "text/event-stream",
      [&Model, Work, Next = Work.ResumeAfter + 1](
          std::size_t, httplib::DataSink &Sink) mutable {
        if (Next > Work.MaxTokens) {
          const std::string End = "data: [DONE]\n\n";
          Sink.write(End.data(), End.size());
          Sink.done();
          return true;
        }
        Model.waitForToken();
        const std::string Event = eventText(Work, Next++);
        return Sink.is_writable() && Sink.write(Event.data(), Event.size());
      },
      [&Model](bool) { Model.end(); });
}

/// The answer is sent at the end; the sink tells earlier if the client left.
void answerJob(Engine &Model, const Job &Work, httplib::Response &Response) {
  const std::string Body = wholeText(Work);
  Response.set_content_provider(
      Body.size(), "application/json",
      [&Model, Work, Body](std::size_t Offset, std::size_t,
                           httplib::DataSink &Sink) {
        for (long I = 0; Offset == 0 && I < Work.MaxTokens; ++I) {
          Model.waitForToken();
          if (!Sink.is_writable())
            return false;
        }
        return Sink.write(Body.data() + Offset, Body.size() - Offset);
      },
      [&Model](bool) { Model.end(); });
}

void refuse(httplib::Response &Response) {
  Response.status = 503;
  Response.set_header("X-Leaving", "true");
  Response.set_header("Retry-After", "1");
}

void serveJob(Engine &Model, const httplib::Request &Request,
              httplib::Response &Response) {
  Job Work;
  if (Model.Leaving) {
    refuse(Response);
    return;
  }
  if (!parseJob(Request, Work)) {
    Response.status = 400;
    Response.set_content(R"({"error":{"message":"not a chat request"}})",
                         "application/json");
    return;
  }
  Model.begin();
  if (Work.Prompt.find("CRASH") != std::string::npos) {
    std::this_thread::sleep_for(TimeToCrash);
    std::_Exit(CrashStatus);
  }
  if (Work.Stream)
    streamJob(Model, Work, Response);
  else
    answerJob(Model, Work, Response);
}

/// Serves the control calls on a port of their own until the process ends.
void serveControl(const char *Address, int Port, Engine &Model) {
  httplib::Server Server;
  const auto Flag = [&Server](const char *Path, std::atomic<bool> &Target,
                              bool Value) {
    Server.Post(Path, [&Target, Value](const httplib::Request &,
                                       httplib::Response &Response) {
      Target = Value;
      Response.set_content("{}", "application/json");
    });
  };
  Flag("/control/leave", Model.Leaving, true);
  Flag("/control/stall", Model.Stalled, true);
  Flag("/control/resume", Model.Stalled, false);
  Server.Get("/control/load", [&Model](const httplib::Request &,
                                       httplib::Response &Response) {
    Response.set_content(Model.currentLoad().dump(), "application/json");
  });
  Server.listen(Address, Port);
}

Options parseOptions(const char *Text) {
  Options Parsed;
  const json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object())
    return Parsed;
  Parsed.MillisPerToken = Document.value("ms_per_token", Parsed.MillisPerToken);
  Parsed.Batch = Document.value("batch", Parsed.Batch);
  Parsed.Slots = Document.value("slots", Parsed.Slots);
  Parsed.LoadLag = Document.value("load_lag_ms", Parsed.LoadLag);
  return Parsed;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 3) {
    fmt::print(stderr, "usage: standin-engine ADDRESS PORT [OPTIONS]\n");
    return 2;
  }
  const Options Settings = parseOptions(ArgumentCount > 3 ? Arguments[3] : "");
  Engine Model(Settings);
  httplib::Server Server;
  // A few threads more than slots serve the load report.
  constexpr int ReportThreads = 4;
  Server.new_task_queue = [&Settings] {
    return new httplib::ThreadPool(
        static_cast<std::size_t>(Settings.Slots + ReportThreads));
  };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1);
  // The library's backlog of 5 would drop connections in a burst.
  socket_t Listener = INVALID_SOCKET;
  Server.set_socket_options([&Listener](socket_t Socket) {
    const int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    Listener = Socket;
  });
  Server.Post("/v1/chat/completions", [&Model](const httplib::Request &Request,
                                               httplib::Response &Response) {
    serveJob(Model, Request, Response);
  });
  Server.Get("/v1/load",
             [&Model](const httplib::Request &, httplib::Response &Response) {
               Response.set_content(Model.load().dump(), "application/json");
             });
  const int Port = std::atoi(Arguments[2]);
  std::thread(serveControl, Arguments[1], Port + 1, std::ref(Model)).detach();
  const bool Bound = Server.bind_to_port(Arguments[1], Port) &&
                     ::listen(Listener, SOMAXCONN) == 0;
  return Bound && Server.listen_after_bind() ? 0 : 1;
}
