/** @file stream_origin.h Software that began the streams of callers. */
#ifndef LABURNUMWEIR_FLEET_STREAM_ORIGIN_H
#define LABURNUMWEIR_FLEET_STREAM_ORIGIN_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <unordered_map>
#include <vector>

namespace laburnumweir {

/** Service and software version that began a stream. Only upstreams of both may continue it, since
 * the events of two versions do not fit together. */
struct StreamOrigin
{
  ServiceName service_;
  SoftwareVersion software_;
  /** Whether several streams have the same id, or the upstream may have been started anew with
   * another version. Such a stream is not continued. */
  bool isAmbiguous_ = false;

  auto operator<=>(const StreamOrigin&) const = default;
};

/** Origin of a stream of a caller. */
struct StreamOriginRecord
{
  RequestId attempt_; ///< Attempt of the caller that brought events of the stream.
  StreamOrigin origin_;
};

/** Origins of recent streams by the attempts of callers that brought their events. Not
 * thread-safe. */
class StreamOriginTable
{
public:
  /** @param aClock time source; must outlive this. */
  explicit StreamOriginTable(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Records an origin; another one than before makes it ambiguous. Has no effect for ids that
   * other hosts cannot be told, or while the table is full. */
  void Record(const RequestId& aAttempt, const StreamOrigin& aOrigin);
  /** @return the origins that were last recorded within a period. */
  std::vector<StreamOriginRecord> Recent(Duration aPeriod) const;
  /** @return the origin of a stream; nullptr if it is unknown. */
  const StreamOrigin* Find(const RequestId& aAttempt) const;
  /** Forgets what was last recorded longer ago than kStreamOriginTtl. */
  void Expire();

private:
  struct Entry
  {
    StreamOrigin origin_;
    TimePoint recordedAt_;
  };

  const Clock& clock_;
  std::unordered_map<RequestId, Entry> entries_;
};

} // namespace laburnumweir

#endif
