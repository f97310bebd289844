#include <mallowglade/detail/router/answer.hpp>

namespace mallowglade {

void Answer::begin(AnswerHead NewHead) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Head && !Completed && !Failure)
    Head = std::move(NewHead);
  Changed.notify_all();
}

std::optional<int> Answer::status() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Head ? std::optional(Head->Status) : std::nullopt;
}

void Answer::append(std::string_view Bytes) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Completed && !Failure)
    Body.append(Bytes);
  Changed.notify_all();
}

void Answer::complete() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Completed = !Failure;
  Changed.notify_all();
}

void Answer::fail(Problem NewFailure) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Completed && !Failure)
    Failure = std::move(NewFailure);
  Changed.notify_all();
}

void Answer::setClaim(ClaimToken Token) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Claim = Token;
}

ClaimToken Answer::claim() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Claim;
}

std::optional<AnswerHead> Answer::waitForHead() const {
  std::unique_lock<std::mutex> Lock(Mutex);
  Changed.wait(Lock, [this] { return Head || Failure; });
  return Head;
}

std::string Answer::read(std::size_t Offset) const {
  std::unique_lock<std::mutex> Lock(Mutex);
  Changed.wait(Lock, [this, Offset] {
    return Body.size() > Offset || Completed || Failure;
  });
  return Body.size() > Offset ? Body.substr(Offset) : std::string();
}

std::optional<Problem> Answer::failure() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Failure;
}

bool Answer::ended() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Completed || Failure;
}

std::string Answer::waitForBody() const {
  std::unique_lock<std::mutex> Lock(Mutex);
  Changed.wait(Lock, [this] { return Completed || Failure; });
  return Body;
}

std::size_t Answer::size() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Body.size();
}

AnswerStore::AnswerStore(Milliseconds Retention, std::uint64_t MaxBytes)
    : Retention(Retention), MaxBytes(MaxBytes) {}

std::shared_ptr<Answer> AnswerStore::add(const WorkspaceId &Workspace,
                                         const RequestId &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto Target = std::make_shared<Answer>();
  const bool Added = Answers.emplace(Key(Workspace, Request), Target).second;
  return Added ? Target : nullptr;
}

std::shared_ptr<Answer> AnswerStore::find(const WorkspaceId &Workspace,
                                          const RequestId &Request) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Answers.find(Key(Workspace, Request));
  return Found == Answers.end() ? nullptr : Found->second;
}

void AnswerStore::markEnded(const WorkspaceId &Workspace,
                            const RequestId &Request, TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const Key Which(Workspace, Request);
  const auto Found = Answers.find(Which);
  if (Found == Answers.end())
    return;
  const std::size_t Bytes = Found->second->size();
  EndedAnswers.push_back({Which, Now, Bytes});
  EndedBytes += Bytes;
  while (EndedBytes > MaxBytes && EndedAnswers.size() > 1)
    dropOldest();
}

void AnswerStore::expire(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  while (!EndedAnswers.empty() && EndedAnswers.front().At + Retention <= Now)
    dropOldest();
}

void AnswerStore::dropOldest() {
  const Ended Oldest = EndedAnswers.front();
  EndedAnswers.pop_front();
  EndedBytes -= Oldest.Bytes;
  Answers.erase(Oldest.Which);
}

} // namespace mallowglade
