#pragma once

#include <soak_deployment.hpp>

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace soak {

/// Sends requests on kept connections and checks each answer.
class Caller {
public:
  Caller(const Deployment &Of, Findings &Found, int Number, std::uint64_t Seed)
      : Of(Of), Found(Found), Number(Number), Random(Seed),
        Clients(Of.Nodes.size()) {}

  void run(const std::atomic<bool> &Stop) {
    constexpr unsigned RequestsPerTry = 8;
    while (!Stop) {
      const int Router = static_cast<int>(Random() % Clients.size());
      request(Router);
      if (Sent % RequestsPerTry == 0)
        tryWithdrawnKey(Router);
    }
  }

  /// Sends a request that crashes replicas; no two of them are alike.
  void harmfulRequest(int Router) {
    const std::string Id = fmt::format("h{}-{}", Number, ++Sent);
    All.insert(Id);
    const auto Answer = connection(Router).Post(
        "/stream/" + Id,
        {{"Host", "api.example"},
         {"Mallowglade-Attempt-Id", Id},
         {"Mallowglade-Deadline-Ms", std::to_string(CallerDeadline.count())},
         {"Mallowglade-Prefix-Hash",
          fmt::format("a1:100,{}:50,{:x}:10", CrashingPart, Sent)},
         {"Authorization", "Bearer key"}},
        Id, "text/plain");
    if (!Answer)
      Clients[Router].reset();
    else if (Answer->status == 200)
      Found.add(fmt::format("{}: a broken stream was complete", Id));
  }
  void runHarmful(const std::atomic<bool> &Stop) {
    while (!Stop) {
      harmfulRequest(static_cast<int>(Random() % Clients.size()));
      std::this_thread::sleep_for(CrashingPeriod);
    }
  }

  /// Checks that a key is not accepted any more.
  void tryWithdrawnKey(int Router) {
    const std::string Key = Of.Withdrawn.any(Random());
    if (Key.empty())
      return;
    const std::string Id = fmt::format("w{}-{}", Number, ++Sent);
    const auto Answer =
        connection(Router).Get("/safe/x", {{"Host", "api.example"},
                                           {"Mallowglade-Attempt-Id", Id},
                                           {"Mallowglade-Deadline-Ms", "1000"},
                                           {"Authorization", "Bearer " + Key}});
    All.insert(Id);
    if (!Answer)
      Clients[Router].reset();
    else if (Answer->status == 200)
      Found.add(fmt::format("{}: the withdrawn key {} was accepted", Id, Key));
  }

  /// @return status; 0 without an answer
  int request(int Router) {
    enum Kind { Safe, Unsafe, Stream, Kinds };
    const auto Of = static_cast<Kind>(Random() % Kinds);
    const std::string Id = fmt::format("c{}-{}", Number, ++Sent);
    httplib::Client &Client = connection(Router);
    const httplib::Headers Headers{
        {"Host", "api.example"},
        {"Mallowglade-Attempt-Id", Id},
        {"Mallowglade-Deadline-Ms", std::to_string(CallerDeadline.count())},
        {"Mallowglade-Prefix-Hash", fmt::format("a1:100,{:x}:10", Sent)},
        {"Authorization", "Bearer key"}};
    const auto Start = std::chrono::steady_clock::now();
    httplib::Result Answer =
        Of == Safe ? Client.Get("/safe/x", Headers)
                   : Client.Post(Of == Unsafe ? "/unsafe/x" : "/stream/x",
                                 Headers, Id, "text/plain");
    const auto Took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - Start);
    if (Of == Unsafe)
      OnceOnly.insert(Id);
    All.insert(Id);
    if (Took > AnswerBound)
      Found.add(fmt::format("{}: no answer for {} ms", Id, Took.count()));
    if (!Answer) {
      Clients[Router].reset();
      return 0;
    }
    check(Id, *Answer, Of == Stream);
    return Answer->status;
  }

  std::set<std::string> All;
  std::set<std::string> OnceOnly;
  /// Requests that were refused with the promise that they never run.
  std::set<std::string> Refused;
  std::size_t Served = 0;

private:
  httplib::Client &connection(int Router) {
    auto &Client = Clients[Router];
    if (!Client) {
      Client =
          std::make_unique<httplib::Client>("127.0.0.1", Of.routerPort(Router));
      Client->set_keep_alive(true);
      Client->set_connection_timeout(std::chrono::seconds(1));
      Client->set_read_timeout(AnswerBound + milliseconds(500));
    }
    return *Client;
  }

  void check(const std::string &Id, const httplib::Response &Answer,
             bool Streams) {
    if (Answer.status == 429 || Answer.status == 503) {
      Refused.insert(Id);
      return;
    }
    if (Answer.status >= 400 && Answer.status < 500)
      Found.add(fmt::format("{}: a proper request got {}", Id, Answer.status));
    if (Answer.status != 200)
      return;
    ++Served;
    std::string Expected = "answer-" + Id;
    if (Streams) {
      Expected.clear();
      for (int Event = 1; Event <= StreamEvents; ++Event)
        Expected += fmt::format("id: {}\ndata: e{}\n\n", Event, Event);
    }
    if (Answer.body != Expected)
      Found.add(
          fmt::format("{}: the answer is not the upstream's: {} bytes, {:?}",
                      Id, Answer.body.size(), Answer.body));
    if (Answer.get_header_value("Mallowglade-Replica-Signature") !=
        "signed-" + Id)
      Found.add(fmt::format("{}: a success with another signature", Id));
  }

  const Deployment &Of;
  Findings &Found;
  int Number;
  std::mt19937_64 Random;
  unsigned Sent = 0;
  std::vector<std::unique_ptr<httplib::Client>> Clients;
};

} // namespace soak
