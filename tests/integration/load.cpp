#include <load.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

namespace fleet {

namespace {

constexpr double BytesPerToken = 4;
constexpr double OutputWeight = 4;
constexpr Milliseconds PauseSlice{20};
constexpr Milliseconds RefusalPause{50};

double secondsSince(std::chrono::steady_clock::time_point Start) {
  const std::chrono::duration<double> Passed =
      std::chrono::steady_clock::now() - Start;
  return Passed.count();
}

/// Counts events and stalls of a stream while it arrives.
class StreamWatch {
public:
  explicit StreamWatch(LoadCounters &Seen) : Seen(Seen) {}

  void onBytes(std::string_view Bytes) {
    const double Now = secondsSince(Start);
    if (First < 0)
      First = Now;
    else
      Stall = std::max(Stall, Now - Last);
    Last = Now;
    Text.append(Bytes);
    constexpr std::string_view End = "\n\n";
    for (auto At = Text.find(End, Begin); At != std::string::npos;
         At = Text.find(End, Begin)) {
      Seen.Tokens += Text.compare(Begin, 3, "id:") == 0 ? 1 : 0;
      Begin = At + End.size();
    }
  }

  double First = -1;
  double Stall = 0;

private:
  LoadCounters &Seen;
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  double Last = 0;
  std::string Text;
  std::size_t Begin = 0;
};

void countOutcome(LoadCounters &Seen, const Reply &Received,
                  const std::string &Expected) {
  if (Received.Status == 200 && Received.Body == Expected) {
    ++Seen.Answered;
    return;
  }
  if (Received.Status == 200 &&
      Received.Body.find("event: error") == std::string::npos) {
    ++Seen.Wrong;
    return;
  }
  const json Problem = Received.document();
  const bool NotRun =
      Problem.is_object() && Problem.value("outcome", "") == "not_run";
  ++(NotRun ? Seen.NotRun : Seen.Unknown);
}

} // namespace

std::string expectedStream(const std::string &Prompt, int Tokens) {
  // Kept equal to the engine's by integration-front-end's reference reads.
  const std::size_t Hash = std::hash<std::string>()(Prompt);
  std::string Text;
  for (long Index = 1; Index <= Tokens; ++Index) {
    const std::string Token =
        fmt::format("t{}-{:x} ", Index, (Hash + Index * 7919) % 0xffff);
    json Event{{"object", "chat.completion.chunk"},
               {"choices", {{{"index", 0}, {"delta", {{"content", Token}}}}}}};
    if (Index == Tokens)
      Event["usage"] = {{"prompt_tokens", Prompt.size() / 4},
                        {"completion_tokens", Tokens}};
    Text += fmt::format("id: {}\ndata: {}\n\n", Index, Event.dump());
  }
  return Text + "data: [DONE]\n\n";
}

Load::Load(std::vector<std::string> Routers, unsigned Seed)
    : Routers(std::move(Routers)), NextSeed(Seed) {}

Load::~Load() { stop(); }

void Load::add(const LoadClass &Added) {
  auto &Seen = Counters[Added.Workspace];
  if (Seen == nullptr)
    Seen = std::make_unique<LoadCounters>();
  if (Added.Backlogged)
    Shares[Added.Workspace] = Added.Share;
  for (int I = 0; I < Added.Clients; ++I)
    Threads.emplace_back(
        [this, Added, Counter = Seen.get(), Seed = NextSeed++] {
          runClient(Added, *Counter, Seed);
        });
}

void Load::stop() {
  Stopping = true;
  Threads.clear();
}

void Load::pause(Milliseconds Time) const {
  const auto End = std::chrono::steady_clock::now() + Time;
  while (!Stopping && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(std::min(Time, PauseSlice));
}

void Load::runClient(const LoadClass &Class, LoadCounters &Seen,
                     unsigned Seed) {
  std::mt19937 Random(Seed);
  std::uniform_int_distribution<int> Length(Class.MinTokens, Class.MaxTokens);
  for (std::size_t Turn = Seed; !Stopping; ++Turn) {
    const std::string Prompt =
        fmt::format("{} request {} of client {}", Class.Workspace, Turn, Seed);
    runRequest(Class, Seen, Length(Random), Turn, Prompt);
    if (Class.Pause.count() > 0)
      pause(Class.Pause);
  }
}

void Load::runRequest(const LoadClass &Class, LoadCounters &Seen, int Tokens,
                      std::size_t Turn, const std::string &Prompt) {
  const std::size_t Router = Class.Routers[Turn % Class.Routers.size()];
  Call Wanted = chatCall(Routers[Router], Class.Workspace,
                         chatBody(Prompt, Tokens, true));
  const double Units =
      Wanted.Body.size() / BytesPerToken + OutputWeight * Tokens;
  Largest = std::max(Largest.load(), Units);
  StreamWatch Watch(Seen);
  Wanted.OnBytes = [this, &Watch](std::string_view Bytes) {
    Watch.onBytes(Bytes);
    return !Stopping;
  };
  const Reply Received = send(Wanted);
  if (Stopping || Received.NotSent) {
    pause(RefusalPause);
    return;
  }
  ++Seen.Requests;
  countOutcome(Seen, Received, expectedStream(Prompt, Tokens));
  const long StallMs = std::lround(Watch.Stall * 1000);
  if (StallMs > Seen.LongestStallMs)
    Seen.LongestStallMs = StallMs;
  if (Received.Status != 200) {
    pause(RefusalPause);
    return;
  }
  Seen.InputTokens += std::lround(Prompt.size() / BytesPerToken);
  const std::lock_guard<std::mutex> Lock(Seen.Mutex);
  Seen.Waits.push_back(Watch.First);
}

ServiceSample Load::sample() const {
  ServiceSample Sample;
  for (const auto &[Workspace, Share] : Shares) {
    const LoadCounters &Seen = *Counters.at(Workspace);
    Sample.push_back((Seen.InputTokens + OutputWeight * Seen.Tokens) / Share);
  }
  return Sample;
}

double Load::wait(const std::string &Workspace, double Quantile) const {
  LoadCounters &Seen = *Counters.at(Workspace);
  const std::lock_guard<std::mutex> Lock(Seen.Mutex);
  if (Seen.Waits.empty())
    return -1;
  std::sort(Seen.Waits.begin(), Seen.Waits.end());
  const double Last = static_cast<double>(Seen.Waits.size() - 1);
  return Seen.Waits[static_cast<std::size_t>(std::ceil(Last * Quantile))];
}

void Load::clearWaits() {
  for (const auto &[Workspace, Seen] : Counters) {
    const std::lock_guard<std::mutex> Lock(Seen->Mutex);
    Seen->Waits.clear();
  }
}

long Load::sum(std::atomic<long> LoadCounters::*Counter) const {
  long Total = 0;
  for (const auto &[Workspace, Seen] : Counters)
    Total += (*Seen).*Counter;
  return Total;
}

double fairnessGap(const std::vector<ServiceSample> &Samples) {
  double Largest = 0;
  const std::size_t Count = Samples.empty() ? 0 : Samples.front().size();
  for (std::size_t I = 0; I < Count; ++I)
    for (std::size_t J = I + 1; J < Count; ++J) {
      double Low = 0;
      double High = 0;
      for (const ServiceSample &Sample : Samples) {
        const double Difference =
            (Sample[I] - Samples[0][I]) - (Sample[J] - Samples[0][J]);
        Low = std::min(Low, Difference);
        High = std::max(High, Difference);
      }
      Largest = std::max(Largest, High - Low);
    }
  return Largest;
}

double metricSum(const std::string &Router, const std::string &Series) {
  std::istringstream Lines(get(Router, "/metrics").Body);
  double Sum = 0;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Series))
      Sum += std::atof(Line.substr(Line.rfind(' ') + 1).c_str());
  return Sum;
}

} // namespace fleet
