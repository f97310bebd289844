#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Longer than a take-over with one repeated call (2 x 2 s).
constexpr Milliseconds AskLimit{5'000};
constexpr Milliseconds AskPause{200};
constexpr Milliseconds NotOwnerPause{50};
constexpr Milliseconds SettlePause{1'000};
constexpr Milliseconds MaxSettlePause{5'000};
/// After the retention time of claims a settlement has no effect.
constexpr std::chrono::hours SettleLimit{1};
/// A message that is delayed longer than this is not expected.
constexpr std::chrono::minutes ForgetAfter{10};
constexpr Milliseconds RefusalRetryAfter{2'000};

} // namespace

ClaimRequesterActions ClaimRequester::takeActions() {
  ClaimRequesterActions Taken;
  Taken.swap(Actions);
  return Taken;
}

ClaimRequesterActions ClaimRequester::ask(const ClaimAsk &Message,
                                          TimePoint Now) {
  Entry Added;
  Added.Ask = Message;
  Added.Deadline = Now + AskLimit;
  Added.NextSend = Now + AskPause;
  Entries[Message.Asker.Token] = Added;
  Actions.emplace_back(SendClaimAsk{Message});
  return takeActions();
}

ClaimRequesterActions ClaimRequester::answered(const ClaimAnswer &Message,
                                               TimePoint Now) {
  const auto Found = Entries.find(Message.Token);
  if (Found == Entries.end())
    return {};
  Entry &Which = Found->second;
  if (Which.Now == Stage::Forgotten && Which.End == ClaimState::Released &&
      Message.Kind == ClaimAnswerKind::Granted) {
    beginSettling(Which, ClaimState::Released, Now);
  } else if (Which.Now == Stage::Asking) {
    if (Message.Kind == ClaimAnswerKind::NotOwner)
      Which.NextSend = std::min(Which.NextSend, Now + NotOwnerPause);
    else
      decide(Which, Message, Now);
  }
  return takeActions();
}

void ClaimRequester::decide(Entry &Which, ClaimAnswer Message, TimePoint Now) {
  // A process that was paused may see the answer after the limit.
  const bool Late = Now >= Which.Deadline;
  if (Late && Message.Kind == ClaimAnswerKind::Granted) {
    Message.Kind = ClaimAnswerKind::Refused;
    Message.Confirmed = true;
    Message.RetryAfter = RefusalRetryAfter;
  }
  if (Message.Kind == ClaimAnswerKind::Granted) {
    Which.Now = Stage::Running;
  } else if (Message.Kind == ClaimAnswerKind::HeldBy) {
    forget(Which, Now);
    Which.End = ClaimState::Released;
  } else {
    beginSettling(Which, ClaimState::Released, Now);
  }
  Actions.emplace_back(ClaimDecided{std::move(Message)});
}

ClaimRequesterActions ClaimRequester::settle(ClaimToken Token, ClaimState State,
                                             TimePoint Now) {
  const auto Found = Entries.find(Token);
  if (Found != Entries.end() && Found->second.Now == Stage::Running)
    beginSettling(Found->second, State, Now);
  return takeActions();
}

void ClaimRequester::beginSettling(Entry &Which, ClaimState End,
                                   TimePoint Now) {
  Which.Now = Stage::Settling;
  Which.End = End;
  Which.Deadline = Now + SettleLimit;
  Which.Pause = SettlePause;
  Which.NextSend = Now + Which.Pause;
  Actions.emplace_back(
      SendClaimSettlement{{Which.Ask.Key, Which.Ask.Asker, End}});
}

void ClaimRequester::settled(ClaimToken Token, TimePoint Now) {
  const auto Found = Entries.find(Token);
  if (Found == Entries.end() || Found->second.Now != Stage::Settling)
    return;
  forget(Found->second, Now);
}

ClaimRequesterActions ClaimRequester::recheck(ClaimToken Token, TimePoint Now) {
  const auto Found = Entries.find(Token);
  if (Found != Entries.end() && Found->second.Now == Stage::Forgotten &&
      Found->second.End == ClaimState::Released)
    beginSettling(Found->second, ClaimState::Released, Now);
  return takeActions();
}

std::size_t ClaimRequester::unsettled() const {
  return std::count_if(Entries.begin(), Entries.end(), [](const auto &Item) {
    return Item.second.Now == Stage::Settling;
  });
}

void ClaimRequester::forget(Entry &Which, TimePoint Now) {
  Which.Now = Stage::Forgotten;
  Which.Deadline = Now + ForgetAfter;
}

ClaimRequesterActions ClaimRequester::tick(TimePoint Now) {
  for (auto Item = Entries.begin(); Item != Entries.end();)
    Item = advance(Item->second, Now) ? std::next(Item) : Entries.erase(Item);
  return takeActions();
}

/// Returns false if the entry is to be removed.
bool ClaimRequester::advance(Entry &Which, TimePoint Now) {
  switch (Which.Now) {
  case Stage::Running:
    return true;
  case Stage::Forgotten:
    return Now < Which.Deadline;
  case Stage::Asking:
    if (Now >= Which.Deadline) {
      ClaimAnswer GivenUp;
      GivenUp.Token = Which.Ask.Asker.Token;
      GivenUp.Kind = ClaimAnswerKind::Refused;
      GivenUp.RetryAfter = RefusalRetryAfter;
      decide(Which, GivenUp, Now);
    } else if (Now >= Which.NextSend) {
      Which.NextSend = Now + AskPause;
      Actions.emplace_back(SendClaimAsk{Which.Ask});
    }
    return true;
  case Stage::Settling:
    if (Now >= Which.Deadline)
      return false;
    if (Now >= Which.NextSend) {
      Which.Pause = std::min(Which.Pause * 2, MaxSettlePause);
      Which.NextSend = Now + Which.Pause;
      Actions.emplace_back(
          SendClaimSettlement{{Which.Ask.Key, Which.Ask.Asker, Which.End}});
    }
    return true;
  }
  return true;
}

} // namespace mallowglade
