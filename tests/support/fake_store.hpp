#pragma once

#include <mallowglade/platform.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mallowglade::testing {

/// @brief In-memory key-value service with fault injection.
class FakeStore final : public KeyValueStore {
public:
  /// @brief Fault injected into one call.
  enum class Fault {
    None,
    /// The call fails and is known not to be delivered.
    Unavailable,
    /// The request is lost; the caller sees a timeout.
    RequestLost,
    /// A write takes effect, but its reply is lost.
    ReplyLost,
    /// A write takes effect only with `deliverDelayed`; the caller sees a
    /// timeout.
    Delayed,
  };

  /// Returns the fault of the next call; may make other calls first.
  std::function<Fault()> BeforeCall = [] { return Fault::None; };
  std::map<std::string, KeyValue> Entries;
  /// All values that were written to a key, oldest first.
  std::map<std::string, std::vector<KeyValue>> History;

  Result<std::optional<KeyValue>> read(const std::string &Key) override {
    if (const auto Failure = errorFor(BeforeCall()))
      return *Failure;
    const auto Found = Entries.find(Key);
    return Found == Entries.end() ? std::optional<KeyValue>() : Found->second;
  }

  Result<std::vector<KeyValue>> readPrefix(const std::string &Prefix) override {
    if (const auto Failure = errorFor(BeforeCall()))
      return *Failure;
    std::vector<KeyValue> Found;
    for (const auto &[Key, Entry] : Entries)
      if (Key.starts_with(Prefix))
        Found.push_back(Entry);
    return Found;
  }

  Result<TransactionReply> commit(const Transaction &Change) override {
    const Fault Injected = BeforeCall();
    if (Injected == Fault::Delayed) {
      DelayedWrites.push_back(Change);
      return *errorFor(Injected);
    }
    const bool Delivered =
        Injected == Fault::None || Injected == Fault::ReplyLost;
    const bool Succeeded = Delivered && apply(Change);
    if (const auto Failure = errorFor(Injected))
      return *Failure;
    return TransactionReply{Succeeded, Revision(CurrentRevision)};
  }

  /// @brief Applies the delayed writes.
  void deliverDelayed() {
    const std::vector<Transaction> Writes = std::move(DelayedWrites);
    DelayedWrites.clear();
    for (const Transaction &Change : Writes)
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
  static std::optional<Error> errorFor(Fault Kind) {
    if (Kind == Fault::None)
      return std::nullopt;
    const bool NotDelivered = Kind == Fault::Unavailable;
    return Error{NotDelivered ? ErrorId::Unavailable : ErrorId::Timeout, "",
                 ""};
  }

  bool apply(const Transaction &Change) {
    for (const RevisionEquals &Condition : Change.Conditions) {
      const auto Found = Entries.find(Condition.Key);
      const Revision Actual =
          Found == Entries.end() ? Revision(0) : Found->second.Modified;
      if (Actual != Condition.Expected)
        return false;
    }
    ++CurrentRevision;
    for (const PutOperation &Put : Change.Puts) {
      const KeyValue Entry{Put.Key, Put.Value, Revision(CurrentRevision)};
      Entries[Put.Key] = Entry;
      History[Put.Key].push_back(Entry);
    }
    return true;
  }

  std::int64_t CurrentRevision = 1;
  std::vector<Transaction> DelayedWrites;
};

} // namespace mallowglade::testing
