#include <mallowglade/core.hpp>

namespace mallowglade {

std::string_view toString(ErrorId Id) {
  switch (Id) {
  case ErrorId::InvalidJson:
    return "settings.invalid_json";
  case ErrorId::UnknownKey:
    return "settings.unknown_key";
  case ErrorId::MissingKey:
    return "settings.missing_key";
  case ErrorId::WrongType:
    return "settings.wrong_type";
  case ErrorId::OutOfRange:
    return "settings.out_of_range";
  case ErrorId::InvalidReference:
    return "settings.invalid_reference";
  case ErrorId::InvalidAddress:
    return "settings.invalid_address";
  case ErrorId::NotFound:
    return "request.not_found";
  case ErrorId::Conflict:
    return "settings.conflict";
  case ErrorId::Unauthenticated:
    return "request.unauthenticated";
  case ErrorId::Forbidden:
    return "request.forbidden";
  case ErrorId::Unavailable:
    return "platform.unavailable";
  case ErrorId::Timeout:
    return "platform.timeout";
  case ErrorId::ConnectFailed:
    return "upstream.connect_failed";
  case ErrorId::ConnectionLost:
    return "upstream.connection_lost";
  case ErrorId::InvalidMessage:
    return "peer.invalid_message";
  case ErrorId::RateLimited:
    return "limit.rate";
  case ErrorId::QueueFull:
    return "limit.queue_length";
  case ErrorId::QueueTimeout:
    return "limit.queue_time";
  case ErrorId::NoCapacity:
    return "pool.no_capacity";
  case ErrorId::Draining:
    return "router.draining";
  case ErrorId::Quarantined:
    return "request.quarantined";
  case ErrorId::TooLarge:
    return "request.too_large";
  case ErrorId::NotReady:
    return "router.not_ready";
  case ErrorId::ClaimHeld:
    return "claim.held";
  case ErrorId::ClaimUnavailable:
    return "claim.unavailable";
  case ErrorId::AnswerGone:
    return "answer.gone";
  case ErrorId::UpstreamFailed:
    return "upstream.failed";
  case ErrorId::UpstreamTimeout:
    return "upstream.timeout";
  case ErrorId::Cancelled:
    return "request.cancelled";
  case ErrorId::InvalidRequest:
    return "request.invalid";
  case ErrorId::Internal:
    return "router.internal";
  }
  return "router.internal";
}

std::string toString(const Error &Failure) {
  std::string Text(toString(Failure.Id));
  if (!Failure.Path.empty())
    Text += ": " + Failure.Path;
  if (!Failure.Detail.empty())
    Text += ": " + Failure.Detail;
  return Text;
}

} // namespace mallowglade
