#pragma once

#include <mallowglade/detail/router/claim_service.hpp>
#include <mallowglade/detail/router/context.hpp>

#include <map>
#include <memory>
#include <vector>

namespace mallowglade {

/// @brief Claims keys with the owners of their partitions and runs the
///   partitions that this router owns.
class KeyedClaimService final
    : public ClaimService,
      public RouterPart,
      public std::enable_shared_from_this<KeyedClaimService> {
public:
  /// @param Context what the router's services share
  explicit KeyedClaimService(RouterContext Context);

  ClaimToken claim(const IdempotencyKey &Key, const RequestId &Request,
                   Reply Done) override;
  void settle(const IdempotencyKey &Key, const RequestId &Request,
              ClaimEnd End) override;
  void recheck(ClaimToken Token) override;
  std::size_t unsettledCount() const override {
    return Requester.unsettledCount();
  }
  void start() override;
  void stop() override;

private:
  using RequestKey = std::pair<ClaimKey, RequestId>;

  void listen();
  void tick();
  void updateOwnership();
  RouterId ownerOf(const ClaimKey &Key) const;
  void run(const ClaimRequesterActions &Actions);
  void run(std::uint32_t Partition, const ClaimActions &Actions);
  void callStore(std::uint32_t Partition,
                 std::function<ClaimStoreReply()> Call);
  void finish(const ClaimAnswer &Message);
  template <class Message>
  void send(const RouterId &To, const char *Type, const Message &Content);
  void receive(const ClaimRequest &Message);
  void receive(const ClaimAnswer &Message);
  void receive(const ClaimSettlement &Message);
  void receive(const ClaimSettlementAck &Message);

  RouterContext Context;
  RouterId Self;
  SeededRandom Random;
  /// Calls of the partitions only: an outage must not hold up other services.
  BlockingPool StoreCalls;
  ClaimRequester Requester;
  std::vector<ClaimPartition> Partitions;
  std::map<ClaimToken, Reply> Pending;
  std::map<RequestKey, ClaimToken> Granted;
};

} // namespace mallowglade
