#pragma once

#include <load.hpp>

namespace fleet {

constexpr int BacklogRouters = 8;
constexpr int BacklogEngines = 12;
constexpr int SlotsPerEngine = 4;

/// What was measured over one window.
struct FleetMeasures {
  /// Largest change of the difference of service per share, in units.
  double Gap = 0;
  /// Bound of the gap for the limits and requests of this load.
  double Bound = 0;
  /// Part of the engines' slots that was in use.
  double Utilisation = 0;
  double ControlBytesPerNode = 0;
  /// Waits of the interactive workspace.
  double WaitP50 = 0;
  double WaitP95 = 0;
};

/// 8 routers, 12 engines and 16 workspaces, 4 of them large, 15 backlogged.
class BacklogFleet {
public:
  /// @param Policy settings key `policy`
  /// @param Partitionable true to put a proxy in front of the peer addresses
  explicit BacklogFleet(const std::string &Policy, bool Partitionable = false);

  void startLoad();
  /// One small workspace sends 100 times its fair share.
  void startFlood();
  /// Ends the load and the routers, so that no client waits for its answer.
  void stopLoad();
  FleetMeasures measure(Milliseconds Window);

  /// Cuts the routers before the index off from the others.
  void partition(std::size_t Index);
  void heal();
  /// Largest number of requests that any engine runs now.
  int busiestEngine() const;
  /// Requests that all engines run now.
  int running() const;
  Load &load() { return *Clients; }
  Fleet &nodes() { return Run; }

private:
  void startRouters(const std::string &Policy, bool Partitionable);
  void setCut(std::size_t Router, const std::vector<std::string> &Sources);
  double busySlotMillis() const;
  double controlBytes() const;

  Fleet Run;
  std::vector<Node *> Engines;
  Node *Proxy = nullptr;
  std::unique_ptr<Load> Clients;
};

} // namespace fleet
