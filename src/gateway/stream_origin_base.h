/** @file stream_origin_base.h Interface to the origins of streams that callers resume. */
#ifndef LABURNUMWEIR_GATEWAY_STREAM_ORIGIN_BASE_H
#define LABURNUMWEIR_GATEWAY_STREAM_ORIGIN_BASE_H

#include "fleet/stream_origin.h"

#include <functional>
#include <optional>

namespace laburnumweir {

/** Result of a search for the origin of a stream. */
struct OriginResult
{
  std::optional<StreamOrigin> origin_; ///< None if no host knows it.
  bool isConclusive_ = true; ///< Otherwise a host that did not answer may know the origin.
};

/** Origins of streams, as the hosts of the fleet know them together. */
class StreamOrigins
{
public:
  using Callback = std::function<void(const OriginResult&)>;

  virtual ~StreamOrigins() = default;
  /** Records what began a stream. @param aAttempt attempt of the caller that brings its events. */
  virtual void Record(const RequestId& aAttempt, const StreamOrigin& aOrigin) = 0;
  /**
   * Finds what began a stream.
   * @param aAttempt attempt that brought its first event; may be empty.
   * @param aService service that must have begun it; empty if there are several.
   * @param aCallback called once, perhaps before this returns.
   */
  virtual void Find(const RequestId& aAttempt, const ServiceName& aService, Callback aCallback) = 0;
};

} // namespace laburnumweir

#endif
