#include <mallowglade/detail/transport/outgoing_link.hpp>

namespace mallowglade::detail {

namespace {

/// Messages handed to the session at once; more of them wait in the queue,
/// where they survive the loss of the connection.
constexpr std::size_t MaxUnanswered = 128;

} // namespace

OutgoingLink::OutgoingLink(std::shared_ptr<PeerShared> Shared, RouterId To)
    : Shared(std::move(Shared)), To(std::move(To)),
      LastUsed(this->Shared->Time.now()), NextConnect(LastUsed) {}

void OutgoingLink::send(std::string_view Type, std::string Sealed) {
  LastUsed = Shared->Time.now();
  QueuedBytes += Sealed.size();
  Queue.push_back({std::string(Type), std::move(Sealed), LastUsed});
  trimQueue();
  if (Connection == nullptr && LastUsed >= NextConnect)
    connect();
  else
    submitQueued();
}

void OutgoingLink::trimQueue() {
  const auto Total = [this] {
    const std::size_t Unanswered =
        Connection == nullptr ? 0 : Connection->unansweredBytes();
    return QueuedBytes + Unanswered;
  };
  while (Queue.size() > 1 && Total() > Shared->Options.MaxQueuedBytes) {
    QueuedBytes -= Queue.front().Sealed.size();
    Queue.pop_front();
  }
}

void OutgoingLink::submitQueued() {
  if (Connection == nullptr || !Connection->opened())
    return;
  while (!Queue.empty() && Connection->unansweredCount() < MaxUnanswered) {
    QueuedBytes -= Queue.front().Sealed.size();
    OutgoingMessage Next = std::move(Queue.front());
    Queue.pop_front();
    Connection->submit(std::move(Next));
    if (Connection == nullptr)
      return;
  }
}

void OutgoingLink::connect() {
  Connection = std::make_shared<ClientConnection>(Shared, To);
  const std::weak_ptr<OutgoingLink> Weak = weak_from_this();
  Connection->Answered = [Weak] {
    if (const auto Self = Weak.lock())
      Self->submitQueued();
  };
  const auto WasOpened = std::make_shared<bool>(false);
  const auto Started = Connection;
  Started->connect(
      [Weak, WasOpened] {
        *WasOpened = true;
        if (const auto Self = Weak.lock())
          Self->submitQueued();
      },
      [Weak, WasOpened] {
        if (const auto Self = Weak.lock())
          Self->onEnded(*WasOpened);
      });
}

void OutgoingLink::onEnded(bool WasOpened) {
  Connection.reset();
  const auto &Options = Shared->Options;
  if (WasOpened)
    Backoff = Options.MinBackoff;
  else
    Backoff = std::clamp(Backoff * 2, Options.MinBackoff, Options.MaxBackoff);
  NextConnect = Shared->Time.now() + Backoff;
}

void OutgoingLink::tick(TimePoint Now) {
  const auto &Options = Shared->Options;
  while (!Queue.empty() && Now - Queue.front().Queued > Options.MaxWait) {
    QueuedBytes -= Queue.front().Sealed.size();
    Queue.pop_front();
  }
  if (Connection != nullptr) {
    const bool InUse = busy() || Now - LastUsed < Options.InUse;
    const auto Checked = Connection;
    Checked->checkAlive(Now, InUse);
  } else if (!Queue.empty() && Now >= NextConnect) {
    connect();
  }
}

void OutgoingLink::close() {
  Queue.clear();
  QueuedBytes = 0;
  if (const auto Closing = Connection)
    Closing->close();
}

bool OutgoingLink::busy() const {
  return !Queue.empty() ||
         (Connection != nullptr && Connection->unansweredCount() > 0);
}

bool OutgoingLink::disposable(TimePoint Now) const {
  return !busy() && Now - LastUsed >= Shared->Options.IdleLimit;
}

bool OutgoingLink::connected() const {
  return Connection != nullptr && Connection->opened();
}

} // namespace mallowglade::detail
