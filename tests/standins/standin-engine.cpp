// Stand-in for a model engine: chat/completions with server-sent events.
//
// Usage: standin-engine ADDRESS PORT [MS_PER_TOKEN [BATCH]]
// Tokens slow down in proportion once more than BATCH requests run. The
// answer depends on the prompt alone, so that every caller can check it.
// `Last-Event-ID: N` resumes after event N. A prompt that holds "CRASH"
// ends the process. `POST /control/leave` makes it refuse new work.

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <thread>

using nlohmann::json;

namespace {

struct Engine {
  double MillisPerToken = 20;
  int Batch = 8;
  std::atomic<int> Running{0};
  std::atomic<bool> Leaving{false};
  std::atomic<long> Started{0};
  std::atomic<long> Tokens{0};

  void waitForToken() const {
    const double Load = std::max(1.0, Running / static_cast<double>(Batch));
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(MillisPerToken * Load));
  }
};

struct Job {
  std::string Prompt;
  long MaxTokens = 16;
  long ResumeAfter = 0;
  bool Stream = false;
};

std::string tokenText(const Job &Work, long Index) {
  const std::size_t Hash = std::hash<std::string>()(Work.Prompt);
  return fmt::format("t{}-{:x} ", Index, (Hash + Index) % 0xffff);
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

Job parseJob(const httplib::Request &Request) {
  Job Work;
  const json Body = json::parse(Request.body, nullptr, false);
  if (!Body.is_object())
    return Work;
  for (const json &Message : Body.value("messages", json::array()))
    Work.Prompt += Message.value("content", "");
  Work.MaxTokens = Body.value("max_tokens", Work.MaxTokens);
  if (Body.contains("actual_tokens"))
    Work.MaxTokens = Body["actual_tokens"];
  Work.Stream = Body.value("stream", false);
  Work.ResumeAfter = std::strtol(
      Request.get_header_value("Last-Event-ID").c_str(), nullptr, 10);
  return Work;
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
        ++Model.Tokens;
        const std::string Event = eventText(Work, Next++);
        return Sink.write(Event.data(), Event.size());
      },
      [&Model](bool) { --Model.Running; });
}

void answerJob(Engine &Model, const Job &Work, httplib::Response &Response) {
  std::string Content;
  for (long Index = 1; Index <= Work.MaxTokens; ++Index) {
    Model.waitForToken();
    ++Model.Tokens;
    Content += tokenText(Work, Index);
  }
  --Model.Running;
  const json Body{
      {"object", "chat.completion"},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", Content}}}}}},
      {"usage", usageOf(Work)}};
  Response.set_content(Body.dump(), "application/json");
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 3) {
    fmt::print(stderr,
               "usage: standin-engine ADDRESS PORT [MS_PER_TOKEN [BATCH]]\n");
    return 2;
  }
  Engine Model;
  if (ArgumentCount > 3)
    Model.MillisPerToken = std::atof(Arguments[3]);
  if (ArgumentCount > 4)
    Model.Batch = std::atoi(Arguments[4]);
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(256); };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1);
  Server.Post("/v1/chat/completions", [&Model](const httplib::Request &Request,
                                               httplib::Response &Response) {
    if (Model.Leaving) {
      Response.status = 503;
      Response.set_header("X-Leaving", "true");
      return;
    }
    const Job Work = parseJob(Request);
    ++Model.Started;
    ++Model.Running;
    if (Work.Prompt.find("CRASH") != std::string::npos) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      std::_Exit(86);
    }
    if (Work.Stream)
      streamJob(Model, Work, Response);
    else
      answerJob(Model, Work, Response);
  });
  Server.Get("/v1/load",
             [&Model](const httplib::Request &, httplib::Response &Response) {
               const json Load{{"running", Model.Running.load()},
                               {"started", Model.Started.load()},
                               {"tokens", Model.Tokens.load()},
                               {"leaving", Model.Leaving.load()}};
               Response.set_content(Load.dump(), "application/json");
             });
  Server.Post("/control/leave",
              [&Model](const httplib::Request &, httplib::Response &Response) {
                Model.Leaving = true;
                Response.set_content("{}", "application/json");
              });
  return Server.listen(Arguments[1], std::atoi(Arguments[2])) ? 0 : 1;
}
