#include <mallowglade/transport.hpp>

#include <mallowglade/detail/transport/incoming_connection.hpp>
#include <mallowglade/detail/transport/outgoing_link.hpp>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <set>

namespace mallowglade {

namespace {

constexpr Milliseconds TickPeriod{100};

} // namespace

struct Http2Peers::State : std::enable_shared_from_this<State> {
  State(asio::io_context &Context, const Clock &Time, Http2PeersOptions Options)
      : Shared(std::make_shared<detail::PeerShared>(Context, Time,
                                                    std::move(Options))),
        Acceptor(Context), Timer(Context) {}

  Result<Success> listen();
  void accept();
  void addIncoming(asio::ip::tcp::socket Socket);
  void scheduleTick();
  void tick();
  void closeLeastRecentlyUsed();
  void deliverLocally(std::string_view Type, std::string Body);
  detail::OutgoingLink &linkTo(const RouterId &To);

  std::shared_ptr<detail::PeerShared> Shared;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Timer;
  std::map<RouterId, std::shared_ptr<detail::OutgoingLink>> Links;
  std::set<std::shared_ptr<detail::IncomingConnection>> Incoming;
  bool Stopped = false;
};

Http2Peers::Http2Peers(asio::io_context &Context, const Clock &Time,
                       Http2PeersOptions Options)
    : Impl(std::make_shared<State>(Context, Time, std::move(Options))) {}

Http2Peers::~Http2Peers() { stop(); }

Result<Success> Http2Peers::listen() { return Impl->listen(); }

Result<Success> Http2Peers::State::listen() {
  const std::string &Address = Shared->Options.Listen;
  const auto Endpoint = detail::parseEndpoint(Address);
  if (!isOk(Endpoint))
    return errorOf(Endpoint);
  asio::error_code Failure;
  Acceptor.open(valueOf(Endpoint).protocol(), Failure);
  Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  Acceptor.bind(valueOf(Endpoint), Failure);
  if (!Failure)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error{ErrorId::ConnectFailed, Failure.message(), Address};
  accept();
  scheduleTick();
  return Success{};
}

void Http2Peers::State::accept() {
  Acceptor.async_accept(
      [Self = shared_from_this()](const asio::error_code &Failure,
                                  asio::ip::tcp::socket Socket) {
        if (Self->Stopped || Failure == asio::error::operation_aborted)
          return;
        if (!Failure)
          Self->addIncoming(std::move(Socket));
        Self->accept();
      });
}

void Http2Peers::State::addIncoming(asio::ip::tcp::socket Socket) {
  if (Incoming.size() >= Shared->Options.MaxIncoming) {
    const auto Oldest = std::min_element(
        Incoming.begin(), Incoming.end(), [](const auto &A, const auto &B) {
          return A->lastReceived() < B->lastReceived();
        });
    // The callback of close removes the entry itself.
    const std::shared_ptr<detail::Http2Connection> Closing = *Oldest;
    Closing->close();
  }
  const auto Added =
      std::make_shared<detail::IncomingConnection>(Shared, std::move(Socket));
  Incoming.insert(Added);
  const std::weak_ptr<State> Weak = weak_from_this();
  Added->start([Weak, Raw = Added.get()] {
    if (const auto Self = Weak.lock())
      std::erase_if(Self->Incoming,
                    [Raw](const auto &Item) { return Item.get() == Raw; });
  });
}

void Http2Peers::State::scheduleTick() {
  Timer.expires_after(TickPeriod);
  Timer.async_wait(
      [Self = shared_from_this()](const asio::error_code &Failure) {
        if (Failure || Self->Stopped)
          return;
        Self->tick();
        Self->scheduleTick();
      });
}

void Http2Peers::State::tick() {
  const TimePoint Now = Shared->Time.now();
  for (const auto &[Id, Link] : Links)
    Link->tick(Now);
  std::erase_if(Links, [Now](const auto &Item) {
    const bool Disposable = Item.second->disposable(Now);
    if (Disposable)
      Item.second->close();
    return Disposable;
  });
  // The other side closes an idle connection after the idle limit; one that
  // stays silent for twice that time has lost its other side.
  const auto SilenceLimit = 2 * Shared->Options.IdleLimit;
  const auto Connections = Incoming;
  for (const auto &Connection : Connections) {
    Connection->sendDueReplies(Now);
    if (Now - Connection->lastReceived() >= SilenceLimit)
      Connection->close();
  }
}

detail::OutgoingLink &Http2Peers::State::linkTo(const RouterId &To) {
  const auto Found = Links.find(To);
  if (Found != Links.end())
    return *Found->second;
  if (Links.size() >= Shared->Options.MaxOutgoing)
    closeLeastRecentlyUsed();
  auto Added = std::make_shared<detail::OutgoingLink>(Shared, To);
  return *Links.emplace(To, std::move(Added)).first->second;
}

void Http2Peers::State::closeLeastRecentlyUsed() {
  const auto Oldest = std::min_element(
      Links.begin(), Links.end(), [](const auto &A, const auto &B) {
        const auto Rank = [](const detail::OutgoingLink &Link) {
          return std::make_pair(Link.busy(), Link.lastUsed());
        };
        return Rank(*A.second) < Rank(*B.second);
      });
  const auto Closing = Oldest->second;
  Links.erase(Oldest);
  Closing->close();
}

void Http2Peers::State::deliverLocally(std::string_view Type,
                                       std::string Body) {
  asio::post(Shared->Context,
             [Self = shared_from_this(), Name = std::string(Type),
              Body = std::move(Body)] {
               const auto Found = Self->Shared->Handlers.find(Name);
               if (Self->Stopped || Found == Self->Shared->Handlers.end())
                 return;
               const auto &Options = Self->Shared->Options;
               Found->second(PeerSender{Options.Self, Options.Start}, Body);
             });
}

void Http2Peers::send(const RouterId &To, std::string_view Type,
                      std::string Body) {
  const auto &Options = Impl->Shared->Options;
  if (Impl->Stopped || Body.size() > Options.MaxMessageBytes)
    return;
  if (To == Options.Self) {
    Impl->deliverLocally(Type, std::move(Body));
    return;
  }
  const detail::MessageEnvelope Envelope{
      To, std::string(Type), PeerSender{Options.Self, Options.Start}};
  std::string Sealed = Impl->Shared->Seal.seal(Envelope, Body);
  Impl->linkTo(To).send(Type, std::move(Sealed));
}

void Http2Peers::onMessage(std::string_view Type, Handler Receive) {
  Impl->Shared->Handlers[std::string(Type)] = std::move(Receive);
}

PeerTraffic Http2Peers::traffic() const { return Impl->Shared->Traffic; }

std::size_t Http2Peers::outgoingCount() const {
  return static_cast<std::size_t>(
      std::count_if(Impl->Links.begin(), Impl->Links.end(),
                    [](const auto &Item) { return Item.second->connected(); }));
}

std::size_t Http2Peers::incomingCount() const { return Impl->Incoming.size(); }

void Http2Peers::stop() {
  if (Impl->Stopped)
    return;
  Impl->Stopped = true;
  asio::error_code Ignored;
  Impl->Acceptor.close(Ignored);
  Impl->Timer.cancel();
  for (const auto &[Id, Link] : Impl->Links)
    Link->close();
  Impl->Links.clear();
  const auto Connections = std::exchange(Impl->Incoming, {});
  for (const auto &Connection : Connections)
    Connection->close();
}

} // namespace mallowglade
