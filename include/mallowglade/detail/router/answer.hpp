#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/router/problem.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mallowglade {

/// @brief First part of an answer.
struct AnswerHead {
  int Status = 200;
  std::string ContentType;
};

/// @brief The answer of one request; written by attempts, read by callers.
///
/// It outlives the caller's connection, so that the caller may ask again.
class Answer {
public:
  /// Maximum size of a body, which is kept as a whole for its callers.
  static constexpr std::size_t MaxBytes = 67'108'864;

  /// @brief Sets status and content type; later calls have no effect.
  void begin(AnswerHead Head);
  /// @return status of the answer, or nothing before it has begun
  std::optional<int> status() const;
  /// @brief Appends bytes of the body.
  void append(std::string_view Bytes);
  /// @brief Marks the answer as complete.
  void complete();
  /// @brief Ends the answer with a failure.
  ///
  /// Nothing is added to an answer that has ended: a late result of an
  /// abandoned attempt reaches no caller.
  void fail(Problem Failure);
  /// @brief Marks the answer with the claim of its request.
  void setClaim(ClaimToken Token);
  /// @return the claim; 0 if the request has no idempotency key
  ClaimToken claim() const;

  /// @brief Waits until the answer has begun or failed.
  /// @return the head, or nothing if it failed before it began
  std::optional<AnswerHead> waitForHead() const;
  /// @brief Waits for bytes after an offset.
  /// @param Offset position in the body
  /// @return the bytes; empty if the answer ended there
  std::string read(std::size_t Offset) const;
  /// @return the failure, if the answer ended with one
  std::optional<Problem> failure() const;
  /// @return true once the answer is complete or has failed
  bool ended() const;
  /// @brief Waits until the answer ended.
  /// @return the whole body
  std::string waitForBody() const;
  /// @return bytes of the body so far
  std::size_t size() const;

private:
  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::optional<AnswerHead> Head;
  std::string Body;
  bool Completed = false;
  std::optional<Problem> Failure;
  ClaimToken Claim;
};

/// @brief Keeps answers for callers that ask again; thread-safe.
class AnswerStore {
public:
  /// @param Retention time that an ended answer is kept
  /// @param MaxBytes memory for ended answers; the oldest go first
  AnswerStore(Milliseconds Retention, std::uint64_t MaxBytes);
  /// @brief Adds a new answer.
  /// @return the answer, or null if the request id is in use
  std::shared_ptr<Answer> add(const WorkspaceId &Workspace,
                              const RequestId &Request);
  /// @return the answer of a request, or null
  std::shared_ptr<Answer> find(const WorkspaceId &Workspace,
                               const RequestId &Request) const;
  /// @brief Starts the retention time of an ended answer.
  void markEnded(const WorkspaceId &Workspace, const RequestId &Request,
                 TimePoint Now);
  /// @brief Drops answers whose retention time has passed.
  void expire(TimePoint Now);

private:
  using Key = std::pair<WorkspaceId, RequestId>;
  struct Ended {
    Key Which;
    TimePoint At;
    std::size_t Bytes;
  };
  void dropOldest();

  Milliseconds Retention;
  std::uint64_t MaxBytes;
  mutable std::mutex Mutex;
  std::map<Key, std::shared_ptr<Answer>> Answers;
  std::deque<Ended> EndedAnswers;
  std::uint64_t EndedBytes = 0;
};

} // namespace mallowglade
