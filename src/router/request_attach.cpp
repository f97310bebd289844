#include <mallowglade/detail/router/request_run.hpp>

#include <mallowglade/detail/router/answer_fetch.hpp>
#include <mallowglade/detail/router/member_service.hpp>

namespace mallowglade {

namespace {

constexpr Milliseconds GoneRetryAfter{5'000};
/// Fetches of one answer; each may end because the holder's connection breaks.
constexpr std::uint32_t MaxFetches = 100;
/// A caller does not wait until the members agree that the holder is dead.
constexpr std::uint32_t MaxFailedConnects = 5;

/// Copies a local answer until it has ended.
std::optional<Problem> copyAnswer(const Answer &Source, Answer &Target) {
  const std::optional<AnswerHead> Head = Source.waitForHead();
  if (!Head)
    return Source.failure();
  Target.begin(*Head);
  std::size_t Offset = 0;
  for (std::string Bytes = Source.read(Offset); !Bytes.empty();
       Bytes = Source.read(Offset)) {
    Target.append(Bytes);
    Offset += Bytes.size();
  }
  return Source.failure();
}

} // namespace

void RequestRunner::attachTo(const RunPointer &Current,
                             const ClaimHeldBy &Held) {
  if (Current->Ended)
    return;
  if (Held.Holder.Router.Value == Context.Settings.PeerAdvertise)
    attachHere(Current, Held);
  else
    attachElsewhere(Current, Held);
}

void RequestRunner::attachHere(const RunPointer &Current,
                               const ClaimHeldBy &Held) {
  const ClaimHolder &Holder = Held.Holder;
  const std::shared_ptr<Answer> Source =
      Holder.Start == Context.Start
          ? Answers.find(Current->Request.Workspace, Holder.Request)
          : nullptr;
  Context.Services.find<ClaimService>(service_name::Claims)
      ->recheck(Holder.Token);
  if (Source == nullptr || Source->claim() != Holder.Token) {
    holderGone(Current);
    return;
  }
  Attempts.post([Self = shared_from_this(), Current, Held, Source] {
    std::optional<Problem> Failure = copyAnswer(*Source, *Current->Target);
    Self->Context.Control.post(
        [Self, Current, Held, Failure = std::move(Failure)] {
          Self->attachedEnded(Current, Held, Failure);
        });
  });
}

void RequestRunner::attachElsewhere(const RunPointer &Current,
                                    const ClaimHeldBy &Held) {
  const std::vector<Member> Alive =
      Context.Services.find<MemberService>(service_name::Members)->alive();
  for (const Member &Other : Alive)
    if (Other.Id == Held.Holder.Router && Other.Start == Held.Holder.Start &&
        Current->Fetches < MaxFetches) {
      ++Current->Fetches;
      fetch(Current, Held, Other.CallerAddress);
      return;
    }
  holderGone(Current);
}

void RequestRunner::fetch(const RunPointer &Current, const ClaimHeldBy &Held,
                          const std::string &Address) {
  Attempts.post([Self = shared_from_this(), Current, Held, Address] {
    AnswerFetch Wanted;
    Wanted.Address = Address;
    Wanted.Request = Held.Holder.Request;
    Wanted.Claim = Held.Holder.Token;
    Wanted.BearerKey = Current->Request.BearerKey;
    Wanted.Skip = Current->Relayed;
    FetchResult Result =
        fetchAnswer(Wanted, *Current->Target, Current->Cancellation);
    Self->Context.Control.post(
        [Self, Current, Held, Result = std::move(Result)] {
          Self->fetched(Current, Held, Result);
        });
  });
}

void RequestRunner::fetched(const RunPointer &Current, const ClaimHeldBy &Held,
                            const FetchResult &Result) {
  Current->Relayed = Result.Relayed;
  const bool Unreachable = Result.End == FetchEnd::Unreachable;
  Current->FailedConnects = Unreachable ? Current->FailedConnects + 1 : 0;
  if (Result.End == FetchEnd::Ended)
    attachedEnded(Current, Held, Result.Failure);
  else if (Result.End == FetchEnd::Gone ||
           Current->FailedConnects >= MaxFailedConnects)
    holderGone(Current);
  else
    Context.Control.postAfter(FetchPause,
                              [Self = shared_from_this(), Current, Held] {
                                Self->attachTo(Current, Held);
                              });
}

/// The verdict of the holder is the verdict of all requests with the key; an
/// unconfirmed holder may have lost the key before it was found not to run.
void RequestRunner::attachedEnded(const RunPointer &Current,
                                  const ClaimHeldBy &Held,
                                  std::optional<Problem> Failure) {
  if (Failure) {
    Failure->Request = Current->Request.Id;
    if (Failure->Outcome == Verdict::NotRun && !Held.Confirmed)
      Failure->Outcome = Verdict::Unknown;
  }
  finish(Current, std::move(Failure));
}

void RequestRunner::holderGone(const RunPointer &Current) {
  const Error Reason{ErrorId::AnswerGone,
                     "another request used the key and its answer is gone", ""};
  finish(Current, Problem{Reason, Verdict::Unknown, Current->Request.Id,
                          GoneRetryAfter});
}

} // namespace mallowglade
