#pragma once

#include <mallowglade/platform.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mallowglade::testing {

/// @brief Key-value service in memory that fails on request.
class FakeStore final : public KeyValueStore {
public:
  /// @brief What happens to one call.
  enum class Fault {
    None,
    /// The call is not delivered.
    Unavailable,
    /// The call is lost on the way; the caller sees a time-out.
    RequestLost,
    /// A write takes effect, its reply is lost.
    ReplyLost,
    /// A write takes effect only before a later call; its reply is lost.
    Delayed,
  };

  /// Chooses the fault of the next call; may run other calls first.
  std::function<Fault()> BeforeCall = [] { return Fault::None; };
  std::map<std::string, KeyValue> Entries;
  /// Versions of a key that were ever written, oldest first.
  std::map<std::string, std::vector<KeyValue>> History;

  Result<std::optional<KeyValue>> read(const std::string &Key) override {
    if (const auto Failure = failure(BeforeCall()))
      return *Failure;
    const auto Found = Entries.find(Key);
    return Found == Entries.end() ? std::optional<KeyValue>() : Found->second;
  }

  Result<std::vector<KeyValue>> readPrefix(const std::string &Prefix) override {
    if (const auto Failure = failure(BeforeCall()))
      return *Failure;
    std::vector<KeyValue> Found;
    for (const auto &[Key, Entry] : Entries)
      if (Key.starts_with(Prefix))
        Found.push_back(Entry);
    return Found;
  }

  Result<TransactionReply> commit(const Transaction &Change) override {
    const Fault Next = BeforeCall();
    if (Next == Fault::Delayed) {
      Late.push_back(Change);
      return *failure(Next);
    }
    const bool Delivered = Next == Fault::None || Next == Fault::ReplyLost;
    const bool Succeeded = Delivered && apply(Change);
    if (const auto Failure = failure(Next))
      return *Failure;
    return TransactionReply{Succeeded, Revision(Current)};
  }

  /// @brief Lets the delayed writes arrive.
  void deliverLate() {
    const std::vector<Transaction> Arriving = std::move(Late);
    Late.clear();
    for (const Transaction &Change : Arriving)
      apply(Change);
  }

  Result<LeaseId> grantLease(std::chrono::seconds) override {
    return LeaseId(1);
  }
  Result<Success> keepAlive(LeaseId) override { return Success{}; }
  Result<Success> revokeLease(LeaseId) override { return Success{}; }
  Result<std::optional<KeyValue>> waitForChange(const std::string &, Revision,
                                                Milliseconds) override {
    return std::optional<KeyValue>();
  }

private:
  static std::optional<Error> failure(Fault Kind) {
    if (Kind == Fault::None)
      return std::nullopt;
    const bool Known = Kind == Fault::Unavailable;
    return Error{Known ? ErrorId::Unavailable : ErrorId::Timeout, "", ""};
  }

  bool apply(const Transaction &Change) {
    for (const RevisionEquals &Condition : Change.Conditions) {
      const auto Found = Entries.find(Condition.Key);
      const Revision Actual =
          Found == Entries.end() ? Revision(0) : Found->second.Modified;
      if (Actual != Condition.Expected)
        return false;
    }
    ++Current;
    for (const PutOperation &Put : Change.Puts) {
      const KeyValue Entry{Put.Key, Put.Value, Revision(Current)};
      Entries[Put.Key] = Entry;
      History[Put.Key].push_back(Entry);
    }
    return true;
  }

  std::int64_t Current = 1;
  std::vector<Transaction> Late;
};

} // namespace mallowglade::testing
