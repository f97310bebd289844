#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace mallowglade::http1 {

/// @brief Bounds the bytes that a server holds for clients that read slowly.
///
/// Handles clients that read a response more slowly than it comes, or stop
/// reading: many of them together fill the memory of the process. The client
/// that most is held for is ended first, which ends the fewest; a client that
/// reads, however slowly, is held less for than one that has stopped.
template <class Client> class UnsentBudget {
public:
  /// @brief Records how many bytes are held for a client; 0 forgets it.
  void record(Client *Holder, std::size_t Bytes) {
    const auto Known = Held.find(Holder);
    if (Known != Held.end()) {
      Sum -= Known->second;
      BySize.erase({Known->second, Holder});
      Held.erase(Known);
    }
    if (Bytes == 0)
      return;
    Held.emplace(Holder, Bytes);
    BySize.emplace(Bytes, Holder);
    Sum += Bytes;
  }
  /// @brief Selects a client to end, and forgets it.
  /// @param Limit bytes that may be held in all
  /// @return null while no more than that is held
  Client *takeExcess(std::size_t Limit) {
    if (Sum <= Limit)
      return nullptr;
    Client *Largest = BySize.rbegin()->second;
    record(Largest, 0);
    return Largest;
  }
  /// @return bytes held in all
  std::size_t total() const { return Sum; }

private:
  std::unordered_map<Client *, std::size_t> Held;
  std::set<std::pair<std::size_t, Client *>> BySize;
  std::size_t Sum = 0;
};

} // namespace mallowglade::http1
