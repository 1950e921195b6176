/** @file request_queue.h Queue of requests by class and workspace. */
#ifndef LABURNUMWEIR_DISPATCH_REQUEST_QUEUE_H
#define LABURNUMWEIR_DISPATCH_REQUEST_QUEUE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "table/dispatch_const.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace laburnumweir {

/** Identifies a queued request within one queue. */
using QueueTicket = std::uint64_t;

/** Settings of a queue. */
struct QueueSettings
{
  TokenCount quantum_ = kQueueQuantum;                  ///< Tokens added in each round.
  std::size_t maxPerWorkspace_ = kQueueMaxPerWorkspace; ///< Entries of a workspace in a class.
  std::size_t maxTotal_ = kQueueMaxTotal;               ///< Entries in all.
  double initialRate_ = kQueueInitialRate;              ///< Tokens/s until a rate is measured.
};

/** A request in the queue. */
struct QueueEntry
{
  QueueTicket ticket_ = 0;            ///< Set by the queue.
  ClassId class_;                     ///< Class.
  WorkspaceId workspace_;             ///< Workspace that it runs for.
  TokenCount tokens_ = 1;             ///< Upper bound of its tokens; at least 1.
  TimePoint startBy_;                 ///< It is refused unless it starts before this time.
  std::optional<TimePoint> deadline_; ///< Time by which the work of a deadline class must be done.
  TimePoint enqueued_;                ///< Set by the queue.
  TimePoint notBefore_;               ///< Skipped until then; set by RequestQueue::Return().
};

/** Why the queue refused a request; none of them ran. */
enum class QueueRefusal : std::uint8_t
{
  None,          ///< Not refused.
  WorkspaceFull, ///< The workspace has too many entries in the class.
  QueueFull,     ///< The queue has too many entries.
  TooLate,       ///< The estimate says that it cannot start in time.
  Expired,       ///< It waited until its bound.
  Displaced,     ///< The newest of the longest queue made room for another workspace.
};

/** A request that the queue gave up; it did not run. */
struct RefusedEntry
{
  QueueEntry entry_;                            ///< The request.
  QueueRefusal reason_ = QueueRefusal::Expired; ///< Why.
};

/** Answer to RequestQueue::Push(). */
struct PushResult
{
  QueueRefusal refusal_ = QueueRefusal::None; ///< None if it was queued.
  QueueTicket ticket_ = 0;                    ///< Ticket, if it was queued.
  Duration estimate_{};                       ///< Estimated wait.
  std::optional<RefusedEntry> displaced_;     ///< A request that had to make room.
};

/**
 * Requests that wait for an engine. Classes are served in the order given at each Pop(); a class
 * whose deadline comes near goes first. Within a class, deficit round robin by tokens shares the
 * starts between the workspaces: a workspace that is backlogged gets at least its equal share less
 * one quantum and one request. Classes have no share of their own: a class without a deadline can
 * be kept waiting by classes before it until its requests expire. Not thread-safe.
 */
class RequestQueue
{
public:
  /** @param aClock time source; must outlive the queue. @param aSettings bounds. */
  explicit RequestQueue(const Clock& aClock, QueueSettings aSettings = {});

  /**
   * Queues a request or refuses it as not run.
   * @param aEntry the request; class, workspace, tokens, startBy and deadline are read.
   * @param aOrder class order now, first served first, for the estimate.
   * @return the ticket or the refusal.
   */
  PushResult Push(QueueEntry aEntry, std::span<const ClassId> aOrder);
  /**
   * Takes the next request.
   * @param aOrder class order now; classes not named come last, by name.
   * @return the request, or none if nothing can start now.
   */
  std::optional<QueueEntry> Pop(std::span<const ClassId> aOrder);
  /**
   * Puts a request back that was taken and could not start; it keeps its place and its share.
   * @param aEntry as given by Pop().
   * @param aNotBefore when to try again; others may go first until then.
   */
  void Return(QueueEntry aEntry, TimePoint aNotBefore);
  /** Removes a request whose caller went away. @return whether it was queued. */
  bool Cancel(QueueTicket aTicket);
  /** Removes the requests whose bound has passed. @return them; none of them ran. */
  std::vector<RefusedEntry> TakeExpired();

  /** @return number of queued requests. */
  std::size_t Size() const { return size_; }
  /** @return tokens of the queued requests. */
  TokenCount QueuedTokens() const { return tokens_; }
  /** @return measured tokens/s of starts while requests were queued. */
  double Rate() const;
  /** @return whether the deadline of a class is so near that it goes first. */
  bool IsRaised(const ClassId& aClass) const;
  /** @return estimated wait of a request if it were queued now. */
  Duration EstimateWait(const QueueEntry& aEntry, std::span<const ClassId> aOrder) const;

private:
  struct WorkspaceQueue
  {
    WorkspaceId id_;                 ///< Workspace.
    std::deque<QueueEntry> entries_; ///< Requests, oldest first.
    TokenCount tokens_ = 0;          ///< Sum of their tokens.
    TokenCount deficit_ = 0;         ///< Tokens that it may still start in this round.
  };
  struct ClassQueue
  {
    std::list<WorkspaceQueue> round_;     ///< Workspaces with requests; the front has its turn.
    bool turnStarted_ = false;            ///< Whether the front got its quantum.
    TokenCount tokens_ = 0;               ///< Sum of all tokens.
    std::map<TimePoint, TokenCount> due_; ///< Tokens by deadline.
  };

  WorkspaceQueue& WorkspaceOf(ClassQueue& aClass, const WorkspaceId& aId);
  void Account(ClassQueue& aClass, WorkspaceQueue& aWorkspace, const QueueEntry& aEntry, int aSign);
  bool IsRaised(const ClassQueue& aClass) const;
  std::vector<ClassId> ServingOrder(std::span<const ClassId> aOrder) const;
  std::optional<QueueEntry> PopFrom(ClassQueue& aClass);
  void RemoveEmpty(ClassQueue& aClass);
  std::optional<RefusedEntry> Displace(const WorkspaceId& aFor);
  void Measure(TokenCount aStarted);

  const Clock& clock_;                    ///< Time source.
  QueueSettings settings_;                ///< Bounds.
  std::map<ClassId, ClassQueue> classes_; ///< Queues by class.
  std::size_t size_ = 0;                  ///< Number of entries.
  TokenCount tokens_ = 0;                 ///< Tokens of all entries.
  QueueTicket nextTicket_ = 1;            ///< Ticket of the next entry.
  double ratedTokens_ = 0;                ///< Decayed tokens started while backlogged.
  double ratedSeconds_ = 0;               ///< Decayed backlogged time.
  TimePoint measured_;                    ///< Time of the last measurement.
};

} // namespace laburnumweir

#endif
