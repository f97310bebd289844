#pragma once

#include <mallowglade/detail/platform/key_value_store.hpp>

#include <vector>

namespace mallowglade {

/// @brief Key-value service reached through the etcd v3 JSON gateway.
class EtcdStore final : public KeyValueStore {
public:
  /// @param Endpoints addresses `ip:port`, tried in order
  /// @param CallTimeout limit of one call
  EtcdStore(std::vector<std::string> Endpoints, Milliseconds CallTimeout);

  Result<std::optional<KeyValue>> read(const std::string &Key) override;
  Result<std::vector<KeyValue>> readPrefix(const std::string &Prefix) override;
  Result<TransactionReply> commit(const Transaction &Change) override;
  Result<LeaseId> grantLease(std::chrono::seconds TimeToLive) override;
  Result<Success> keepAlive(LeaseId Lease) override;
  Result<Success> revokeLease(LeaseId Lease) override;
  Result<std::optional<KeyValue>> waitForChange(const std::string &Key,
                                                Revision After,
                                                Milliseconds Limit) override;

private:
  Result<std::string> call(const std::string &Path, const std::string &Body);

  std::vector<std::string> Endpoints;
  Milliseconds CallTimeout;
};

} // namespace mallowglade
