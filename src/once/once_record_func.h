/** @file once_record_func.h Text form of the records of a `once` stream, keys and partitions. */
#ifndef LABURNUMWEIR_ONCE_ONCE_RECORD_FUNC_H
#define LABURNUMWEIR_ONCE_ONCE_RECORD_FUNC_H

#include "log/log_client_base.h"
#include "once/once_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumweir {

/** Kind of a record. */
enum class OnceRecordKind : std::uint8_t
{
  Begin,   ///< An attempt asks to run.
  Outcome, ///< An attempt ended with an answer.
  Release  ///< An attempt was certainly not sent and will not be.
};

/** A record of a `once` stream. */
struct OnceRecord
{
  OnceRecordKind kind_ = OnceRecordKind::Begin; ///< Kind.
  OnceKey key_;                                 ///< Workspace and idempotency key.
  AttemptId attempt_;                           ///< Attempt.
  std::string requestDigest_;                   ///< Begin: digest of the request.
  ReaderId reader_;                             ///< Begin: reader that will issue the permit.
  OnceOutcome outcome_;                         ///< Outcome.
};

/**
 * @param aWorkspace workspace; keys of different workspaces never meet.
 * @param aIdempotencyKey key shown by the caller.
 * @return digest of both.
 */
OnceKey
MakeOnceKey(const WorkspaceId& aWorkspace, std::string_view aIdempotencyKey);

/**
 * @param aMethod HTTP method.
 * @param aTarget path and query.
 * @param aBody body.
 * @return digest by which a repeated key is recognised as the same request.
 */
std::string
MakeRequestDigest(std::string_view aMethod, std::string_view aTarget, std::string_view aBody);

/**
 * @param aKey key.
 * @param aPartitions number of partitions, greater than 0.
 * @return partition in [0, aPartitions).
 */
std::uint32_t
PartitionOf(const OnceKey& aKey, std::uint32_t aPartitions);

/**
 * @param aPartition partition.
 * @return name of its stream.
 */
std::string
OnceStreamName(std::uint32_t aPartition);

/**
 * @param aRecord record.
 * @param aMaxBody largest body to keep.
 * @return the record as text, with an identifier that is the same each time it is appended.
 */
NewRecord
EncodeOnceRecord(const OnceRecord& aRecord, std::size_t aMaxBody);

/**
 * @param aText text of a record.
 * @return the record, or nothing if the text is no valid record.
 */
std::optional<OnceRecord>
DecodeOnceRecord(std::string_view aText);

} // namespace laburnumweir

#endif
