// Cost of one claim partition at the design size: 100 claims/s, as if every
// request carried an idempotency key. One JSON object a line.

#include <mallowglade/outcomes.hpp>

#include <fmt/format.h>

#include <malloc.h>
#include <time.h>

using namespace mallowglade;

namespace {

constexpr int ClaimsPerSecond = 100;
constexpr int SimulatedSeconds = 600;
constexpr Milliseconds Step{10};

void report(std::string_view What, std::string_view Per, double Value,
            std::string_view Unit) {
  fmt::print("{{\"what\":\"{}\",\"per\":\"{}\",\"routers\":390,"
             "\"value\":{:.3f},\"unit\":\"{}\"}}\n",
             What, Per, Value, Unit);
}

double processorMicros() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return double(Used.tv_sec) * 1e6 + double(Used.tv_nsec) / 1e3;
}

double heapBytes() {
  const struct mallinfo2 Heap = mallinfo2();
  return double(Heap.uordblks) + double(Heap.hblkhd);
}

/// A partition whose store always succeeds and keeps the head only.
class PartitionBench {
public:
  PartitionBench() : Partition(0, RouterId("10.0.0.1:9000"), Incarnation(1)) {
    perform(Partition.setShouldOwn(true, Now));
    run(100);
  }

  void run(int Steps) {
    for (int I = 0; I < Steps; ++I) {
      Now += Step;
      perform(Partition.tick(Now));
    }
  }

  void claimAndSettle() {
    ++Claims;
    ClaimRequest Request;
    Request.Key = makeClaimKey(
        WorkspaceId("workspace-" + toHex(Claims % 5'300)), toHex(Claims));
    Request.Requester.Router =
        RouterId(fmt::format("10.0.1.{}:9000", Claims % 200));
    Request.Requester.Start = Incarnation(1'700'000'000'000);
    Request.Requester.Request = RequestId("r-" + toHex(Claims) + toHex(Claims));
    Request.Requester.Token = ClaimToken(Claims);
    perform(Partition.handleRequest(Request, Now));
    run(1'000 / ClaimsPerSecond / static_cast<int>(Step.count()));
    Open.push_back({Request.Key, Request.Requester, ClaimState::Done});
    if (Open.size() <= ClaimsPerSecond)
      return;
    perform(Partition.handleSettlement(Open.front(), Now));
    Open.pop_front();
  }

  std::size_t keyCount() const { return Partition.log().keyCount(); }
  std::uint64_t Calls = 0;
  std::uint64_t WrittenBytes = 0;
  std::uint64_t Granted = 0;

private:
  void perform(const ClaimActions &Actions) {
    for (const ClaimAction &Next : Actions) {
      if (const auto *Answer = std::get_if<SendClaimAnswer>(&Next))
        Granted += Answer->Message.Kind == ClaimAnswerKind::Granted ? 1 : 0;
      if (const auto Reply = call(Next))
        perform(Partition.handleStoreReply(*Reply, Now));
    }
  }

  std::optional<ClaimStoreReply> call(const ClaimAction &Action) {
    if (std::holds_alternative<ReadClaimKey>(Action))
      return Result<std::optional<KeyValue>>(Head);
    if (std::holds_alternative<ReadClaimPrefix>(Action))
      return Result<std::vector<KeyValue>>(Head ? std::vector<KeyValue>{*Head}
                                                : std::vector<KeyValue>());
    const auto *Change = std::get_if<Transaction>(&Action);
    if (Change == nullptr)
      return std::nullopt;
    ++Calls;
    ++Last.Value;
    for (const PutOperation &Put : Change->Puts) {
      WrittenBytes += Put.Key.size() + Put.Value.size();
      if (Put.Key.ends_with("/head"))
        Head = KeyValue{Put.Key, Put.Value, Last};
    }
    return Result<TransactionReply>(TransactionReply{true, Last});
  }

  ClaimPartition Partition;
  TimePoint Now{std::chrono::hours(1)};
  std::optional<KeyValue> Head;
  Revision Last;
  std::uint64_t Claims = 0;
  /// Claims of the last second, still running.
  std::deque<ClaimSettlement> Open;
};

} // namespace

int main() {
  const double Before = heapBytes();
  PartitionBench Bench;
  const std::uint64_t Calls = Bench.Calls;
  const double Started = processorMicros();
  constexpr int Claims = ClaimsPerSecond * SimulatedSeconds;
  for (int I = 0; I < Claims; ++I)
    Bench.claimAndSettle();
  const double Used = processorMicros() - Started;
  Bench.run(100);
  report("claims_granted", "partition", double(Bench.Granted), "claims");
  report("claim_processor", "claim", Used / Claims, "us");
  report("claim_memory", "claim",
         (heapBytes() - Before) / double(Bench.keyCount()), "bytes");
  report("claim_written", "claim", double(Bench.WrittenBytes) / Claims,
         "bytes");
  report("claim_transactions", "partition",
         double(Bench.Calls - Calls) / SimulatedSeconds, "calls/s");
  return Bench.Granted == Claims ? 0 : 1;
}
