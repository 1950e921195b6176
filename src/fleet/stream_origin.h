/** @file stream_origin.h Software that began a stream. */
#ifndef LABURNUMWEIR_FLEET_STREAM_ORIGIN_H
#define LABURNUMWEIR_FLEET_STREAM_ORIGIN_H

#include "core/id_type.h"

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

} // namespace laburnumweir

#endif
