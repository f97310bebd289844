#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Longer than a take-over in which one call is repeated (2 x 2 s).
constexpr Milliseconds RequestTimeout{5'000};
constexpr Milliseconds RequestRetryDelay{200};
constexpr Milliseconds NotOwnerRetryDelay{50};
constexpr Milliseconds InitialSettlementRetryDelay{1'000};
constexpr Milliseconds MaxSettlementRetryDelay{5'000};
/// Equals the retention time of claims, after which a settlement has no effect.
constexpr std::chrono::hours SettlementTimeout{1};
/// Finished claims are kept to handle delayed messages; longer delays are not
/// expected.
constexpr std::chrono::minutes FinishedRetention{10};
constexpr Milliseconds TimeoutRetryAfter{2'000};

} // namespace

ClaimRequesterActions ClaimRequester::takeActions() {
  ClaimRequesterActions TakenActions;
  TakenActions.swap(Actions);
  return TakenActions;
}

ClaimRequesterActions ClaimRequester::requestClaim(const ClaimRequest &Message,
                                                   TimePoint Now) {
  Entry NewEntry;
  NewEntry.Request = Message;
  NewEntry.Deadline = Now + RequestTimeout;
  NewEntry.NextSend = Now + RequestRetryDelay;
  Entries[Message.Requester.Token] = NewEntry;
  Actions.emplace_back(SendClaimRequest{Message});
  return takeActions();
}

ClaimRequesterActions ClaimRequester::handleAnswer(const ClaimAnswer &Message,
                                                   TimePoint Now) {
  const auto Found = Entries.find(Message.Token);
  if (Found == Entries.end())
    return {};
  Entry &Claim = Found->second;
  if (Claim.CurrentStage == Stage::Finished &&
      Claim.FinalState == ClaimState::Released &&
      Message.Kind == ClaimAnswerKind::Granted) {
    startSettling(Claim, ClaimState::Released, Now);
  } else if (Claim.CurrentStage == Stage::Requesting) {
    if (Message.Kind == ClaimAnswerKind::NotOwner)
      Claim.NextSend = std::min(Claim.NextSend, Now + NotOwnerRetryDelay);
    else
      handleDecision(Claim, Message, Now);
  }
  return takeActions();
}

void ClaimRequester::handleDecision(Entry &Claim, ClaimAnswer Message,
                                    TimePoint Now) {
  // A process that was paused may receive the answer after the deadline.
  const bool Late = Now >= Claim.Deadline;
  if (Late && Message.Kind == ClaimAnswerKind::Granted) {
    Message.Kind = ClaimAnswerKind::Refused;
    Message.Confirmed = true;
    Message.RetryAfter = TimeoutRetryAfter;
  }
  if (Message.Kind == ClaimAnswerKind::Granted) {
    Claim.CurrentStage = Stage::Running;
  } else if (Message.Kind == ClaimAnswerKind::HeldBy) {
    finish(Claim, Now);
    Claim.FinalState = ClaimState::Released;
  } else {
    startSettling(Claim, ClaimState::Released, Now);
  }
  Actions.emplace_back(ClaimDecision{std::move(Message)});
}

ClaimRequesterActions ClaimRequester::settle(ClaimToken Token, ClaimState State,
                                             TimePoint Now) {
  const auto Found = Entries.find(Token);
  if (Found != Entries.end() && Found->second.CurrentStage == Stage::Running)
    startSettling(Found->second, State, Now);
  return takeActions();
}

void ClaimRequester::startSettling(Entry &Claim, ClaimState FinalState,
                                   TimePoint Now) {
  Claim.CurrentStage = Stage::Settling;
  Claim.FinalState = FinalState;
  Claim.Deadline = Now + SettlementTimeout;
  Claim.RetryDelay = InitialSettlementRetryDelay;
  Claim.NextSend = Now + Claim.RetryDelay;
  Actions.emplace_back(SendClaimSettlement{
      {Claim.Request.Key, Claim.Request.Requester, FinalState}});
}

void ClaimRequester::handleSettlementAck(ClaimToken Token, TimePoint Now) {
  const auto Found = Entries.find(Token);
  if (Found == Entries.end() || Found->second.CurrentStage != Stage::Settling)
    return;
  finish(Found->second, Now);
}

ClaimRequesterActions ClaimRequester::recheck(ClaimToken Token, TimePoint Now) {
  const auto Found = Entries.find(Token);
  if (Found != Entries.end() && Found->second.CurrentStage == Stage::Finished &&
      Found->second.FinalState == ClaimState::Released)
    startSettling(Found->second, ClaimState::Released, Now);
  return takeActions();
}

std::size_t ClaimRequester::unsettledCount() const {
  return std::count_if(Entries.begin(), Entries.end(), [](const auto &Item) {
    return Item.second.CurrentStage == Stage::Settling;
  });
}

void ClaimRequester::finish(Entry &Claim, TimePoint Now) {
  Claim.CurrentStage = Stage::Finished;
  Claim.Deadline = Now + FinishedRetention;
}

ClaimRequesterActions ClaimRequester::tick(TimePoint Now) {
  for (auto Item = Entries.begin(); Item != Entries.end();)
    Item = advance(Item->second, Now) ? std::next(Item) : Entries.erase(Item);
  return takeActions();
}

/// Returns false if the entry is to be removed.
bool ClaimRequester::advance(Entry &Claim, TimePoint Now) {
  switch (Claim.CurrentStage) {
  case Stage::Running:
    return true;
  case Stage::Finished:
    return Now < Claim.Deadline;
  case Stage::Requesting:
    if (Now >= Claim.Deadline) {
      ClaimAnswer TimeoutAnswer;
      TimeoutAnswer.Token = Claim.Request.Requester.Token;
      TimeoutAnswer.Kind = ClaimAnswerKind::Refused;
      TimeoutAnswer.RetryAfter = TimeoutRetryAfter;
      handleDecision(Claim, TimeoutAnswer, Now);
    } else if (Now >= Claim.NextSend) {
      Claim.NextSend = Now + RequestRetryDelay;
      Actions.emplace_back(SendClaimRequest{Claim.Request});
    }
    return true;
  case Stage::Settling:
    if (Now >= Claim.Deadline)
      return false;
    if (Now >= Claim.NextSend) {
      Claim.RetryDelay =
          std::min(Claim.RetryDelay * 2, MaxSettlementRetryDelay);
      Claim.NextSend = Now + Claim.RetryDelay;
      Actions.emplace_back(SendClaimSettlement{
          {Claim.Request.Key, Claim.Request.Requester, Claim.FinalState}});
    }
    return true;
  }
  return true;
}

} // namespace mallowglade
