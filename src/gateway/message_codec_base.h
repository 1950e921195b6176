/** @file message_codec_base.h Interface that reads and writes the fields of forwarded messages. */
#ifndef LABURNUMWEIR_GATEWAY_MESSAGE_CODEC_BASE_H
#define LABURNUMWEIR_GATEWAY_MESSAGE_CODEC_BASE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace laburnumweir {

/** What the fields of a request tell. */
struct RequestFacts
{
  RequestId id_;                                      ///< Attempt of the caller; may be empty.
  std::string key_;                                   ///< Key of the caller; may be empty.
  std::optional<std::chrono::milliseconds> patience_; ///< How long the caller waits.
  std::string model_;                                 ///< Model; empty for plain services.
  std::string adapter_;                               ///< Adapter; empty for the base model.
  std::optional<TokenCount> tokens_;                  ///< Prompt and most output tokens.
};

/** What this host adds to a request that it passes on. */
struct ForwardFacts
{
  std::chrono::milliseconds timeLeft_{ 0 }; ///< Time until the caller's deadline.
  UpstreamId upstream_;                     ///< Only this upstream may run it.
  WorkspaceId workspace_;                   ///< Workspace that it runs for; may be empty.
  std::optional<std::uint32_t> priority_;   ///< Rank at the engine; 0 is first.
  std::int64_t adapterVersion_ = 0;         ///< Only this version may run it; 0 = any.
  std::optional<std::string> resumeAfter_;  ///< Event id after which a stream goes on.
};

/** What the fields of an answer tell. */
struct AnswerFacts
{
  RequestId id_;               ///< Attempt that it answers; may be empty.
  bool isSigned_ = false;      ///< It carries the upstream's signature.
  bool isNotRun_ = false;      ///< The upstream says that it did not run the request.
  bool isMisdirected_ = false; ///< Another upstream, model or version is at the address.
  UpstreamId upstream_;        ///< Upstream that answers, if it says so.
  std::optional<std::chrono::milliseconds> coldFor_; ///< How much longer it is cold.
};

/** Reads and writes the fields that a platform defines. */
class MessageCodec
{
public:
  using Fields = boost::beast::http::fields;

  virtual ~MessageCodec() = default;
  /** @param aFields fields of a request. @return what they tell. */
  virtual RequestFacts ReadRequest(const Fields& aFields) const = 0;
  /**
   * Turns the fields of a caller's request into those for an upstream: removes what concerns the
   * caller's connection, its key, and fields that only this host may set; adds what the host sets.
   * @param aFields fields to change. @param aFacts what to add.
   */
  virtual void PrepareForward(Fields& aFields, const ForwardFacts& aFacts) const = 0;
  /** @param aStatus HTTP status. @param aFields fields. @return what an answer tells. */
  virtual AnswerFacts ReadAnswer(unsigned aStatus, const Fields& aFields) const = 0;
  /** Adds the attempt's id to an answer of this host's own. */
  virtual void MarkOwnAnswer(Fields& aFields, const RequestId& aId) const = 0;
};

} // namespace laburnumweir

#endif
