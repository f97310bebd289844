#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief Revision of the key-value service; rises with every write.
using Revision = StrongNumber<struct RevisionTag, std::int64_t>;
/// @brief Id of a lease in the key-value service.
using LeaseId = StrongNumber<struct LeaseTag, std::int64_t>;

/// @brief A key with its value and the revision of its last write.
struct KeyValue {
  std::string Key;
  std::string Value;
  Revision Modified;
};

/// @brief A write within a transaction.
struct PutOperation {
  std::string Key;
  std::string Value;
  /// Deletes the key when the lease ends; 0 for none.
  LeaseId Lease;
};

/// @brief A condition of a transaction; revision 0 means the key is absent.
struct RevisionEquals {
  std::string Key;
  Revision Expected;
};

/// @brief A conditional write of several keys.
struct Transaction {
  std::vector<RevisionEquals> Conditions;
  std::vector<PutOperation> Puts;
  std::vector<std::string> Deletes;
};

/// @brief Outcome of a transaction that the service has answered.
struct TransactionReply {
  bool Succeeded = false;
  /// Revision of the service after the transaction.
  Revision At;
};

/// @brief The platform's key-value service; calls block.
///
/// An error `platform.timeout` leaves open whether a write took effect.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;
  /// @brief Reads one key.
  /// @return the entry, or nothing if the key is absent; errors
  ///   `platform.unavailable`, `platform.timeout`
  virtual Result<std::optional<KeyValue>> read(const std::string &Key) = 0;
  /// @brief Reads all keys with a prefix, in key order.
  virtual Result<std::vector<KeyValue>>
  readPrefix(const std::string &Prefix) = 0;
  /// @brief Writes all puts and deletes if all conditions hold, else nothing.
  virtual Result<TransactionReply> commit(const Transaction &Change) = 0;
  /// @brief Creates a lease.
  /// @param TimeToLive whole seconds
  virtual Result<LeaseId> grantLease(std::chrono::seconds TimeToLive) = 0;
  /// @brief Extends a lease to its full time to live.
  virtual Result<Success> keepAlive(LeaseId Lease) = 0;
  /// @brief Ends a lease and deletes its keys.
  virtual Result<Success> revokeLease(LeaseId Lease) = 0;
  /// @brief Waits until a key changes after a revision.
  /// @param Key key to watch
  /// @param After revision after which a change counts
  /// @param Limit longest wait
  /// @return the changed entry, or nothing if the limit passed
  virtual Result<std::optional<KeyValue>>
  waitForChange(const std::string &Key, Revision After, Milliseconds Limit) = 0;
};

} // namespace mallowglade
