#include <mallowglade/detail/router/problem.hpp>

#include <mallowglade/settings.hpp>

namespace mallowglade {

int statusOf(ErrorId Id) {
  switch (Id) {
  case ErrorId::InvalidJson:
  case ErrorId::UnknownKey:
  case ErrorId::MissingKey:
  case ErrorId::WrongType:
  case ErrorId::OutOfRange:
  case ErrorId::InvalidReference:
  case ErrorId::InvalidAddress:
  case ErrorId::InvalidRequest:
    return 400;
  case ErrorId::Unauthenticated:
    return 401;
  case ErrorId::Forbidden:
  case ErrorId::Quarantined:
    return 403;
  case ErrorId::NotFound:
    return 404;
  case ErrorId::Conflict:
  case ErrorId::ClaimHeld:
    return 409;
  case ErrorId::AnswerGone:
    return 410;
  case ErrorId::TooLarge:
    return 413;
  case ErrorId::RateLimited:
  case ErrorId::QueueFull:
    return 429;
  case ErrorId::ConnectFailed:
  case ErrorId::ConnectionLost:
  case ErrorId::UpstreamFailed:
  case ErrorId::InvalidMessage:
    return 502;
  case ErrorId::Unavailable:
  case ErrorId::QueueTimeout:
  case ErrorId::NoCapacity:
  case ErrorId::NotReady:
  case ErrorId::Draining:
  case ErrorId::ClaimUnavailable:
    return 503;
  case ErrorId::Timeout:
  case ErrorId::UpstreamTimeout:
    return 504;
  case ErrorId::Cancelled:
  case ErrorId::Internal:
    return 500;
  }
  return 500;
}

std::int64_t retryAfterSeconds(Milliseconds Delay) {
  constexpr std::int64_t MillisPerSecond = 1000;
  const std::int64_t Rounded =
      (Delay.count() + MillisPerSecond - 1) / MillisPerSecond;
  return std::max<std::int64_t>(1, Rounded);
}

std::string toJson(const Problem &Failure) {
  const std::string Id(toString(Failure.Reason.Id));
  nlohmann::json Document{{"type", "urn:mallowglade:error:" + Id},
                          {"title", Id},
                          {"status", statusOf(Failure.Reason.Id)},
                          {"detail", Failure.Reason.Detail},
                          {"error_id", Id},
                          {"outcome", toString(Failure.Outcome)}};
  if (!Failure.Reason.Path.empty())
    Document["instance"] = Failure.Reason.Path;
  if (!Failure.Request.empty())
    Document["request_id"] = Failure.Request.Value;
  if (Failure.RetryAfter.count() > 0)
    Document["retry_after_s"] = retryAfterSeconds(Failure.RetryAfter);
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

namespace {

ErrorId parseErrorId(const std::string &Text) {
  const int Last = static_cast<int>(ErrorId::Internal);
  for (int Number = 0; Number < Last; ++Number)
    if (toString(static_cast<ErrorId>(Number)) == Text)
      return static_cast<ErrorId>(Number);
  return ErrorId::Internal;
}

Verdict parseVerdict(const std::string &Text) {
  if (Text == toString(Verdict::NotRun))
    return Verdict::NotRun;
  return Text == toString(Verdict::Answered) ? Verdict::Answered
                                             : Verdict::Unknown;
}

std::string textAt(const nlohmann::json &Document, const char *Key) {
  const auto Found = Document.find(Key);
  return Found != Document.end() && Found->is_string()
             ? Found->get<std::string>()
             : std::string();
}

} // namespace

std::optional<Problem> parseProblem(const std::string &Json) {
  constexpr std::size_t MaxProblemBytes = 65'536;
  constexpr std::int64_t MaxRetryAfterSeconds = 86'400;
  const auto Parsed = parseBoundedJson(Json, MaxProblemBytes);
  if (!Parsed || !Parsed->is_object() || !Parsed->contains("error_id"))
    return std::nullopt;
  const nlohmann::json &Document = *Parsed;
  Problem Failure;
  Failure.Reason.Id = parseErrorId(textAt(Document, "error_id"));
  Failure.Reason.Detail = textAt(Document, "detail");
  Failure.Outcome = parseVerdict(textAt(Document, "outcome"));
  Failure.Request = RequestId(textAt(Document, "request_id"));
  if (const auto RetryAfter = numberMember<std::int64_t>(
          Document, "retry_after_s", 0, MaxRetryAfterSeconds))
    Failure.RetryAfter = std::chrono::seconds(*RetryAfter);
  return Failure;
}

} // namespace mallowglade
