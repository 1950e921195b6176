/** @file message_codec_base.h Interface to a platform's header fields in requests and answers. */
#ifndef LABURNUMWEIR_GATEWAY_MESSAGE_CODEC_BASE_H
#define LABURNUMWEIR_GATEWAY_MESSAGE_CODEC_BASE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace laburnumweir {

/** Values of the platform's header fields in a request of a caller. */
struct RequestFacts
{
  RequestId id_;    ///< Identifies one attempt of the caller; may be empty.
  std::string key_; ///< API key; empty if the request has none.
  /** Time for which the caller waits, from the arrival of the request; none if not given. */
  std::optional<std::chrono::milliseconds> callerTimeout_;
  std::string model_;                ///< Model; empty for plain services.
  std::string adapter_;              ///< Adapter; empty for the base model.
  std::optional<TokenCount> tokens_; ///< Prompt plus maximum output tokens; none if not given.
  double work_ = 0;                  ///< Work at an engine, in prompt tokens; 0 if not given.
  /** Ids of the parts of the prompt that other requests may share, in order. The last part of a
   * prompt is left out: it belongs to the request or its session alone. */
  std::vector<std::string> sharedParts_;
  RequestId resumes_;       ///< Attempt that brought the first event of a stream; empty if none.
  std::string lastEventId_; ///< Last event that the caller has of a stream; empty if none.
};

/** Values that this host adds to the header of a request to an upstream. */
struct ForwardFacts
{
  std::chrono::milliseconds timeLeft_{ 0 }; ///< Time until the caller's deadline.
  UpstreamId upstream_;                     ///< Upstream that must run it; any other rejects it.
  WorkspaceId workspace_;                   ///< Owner of the caller's key; empty without a key.
  std::optional<std::uint32_t> priority_;   ///< Rank at the engine, 0 first; none without a model.
  std::int64_t adapterVersion_ = 0;         ///< Adapter version that must run it; 0 for any.
  std::optional<std::string> resumeAfter_;  ///< Id of the event after which to resume a stream.
};

/** Values of the platform's header fields in an answer of an upstream. */
struct AnswerFacts
{
  RequestId id_;               ///< Attempt that is answered; empty if not given.
  bool isSigned_ = false;      ///< The answer carries the upstream's signature.
  bool isNotRun_ = false;      ///< The upstream reports that it did not run the request.
  bool isMisdirected_ = false; ///< The address serves another upstream, model or version.
  UpstreamId upstream_;        ///< Upstream that answers; empty if not given.
  std::optional<std::chrono::milliseconds>
    coldTimeLeft_;                     ///< Remaining cold start; none if not given.
  std::optional<double> requestLimit_; ///< Requests/s it takes from all hosts; none if no limit.
  std::optional<Duration> pause_;      ///< It asks this host for none for so long; none if not.
  bool isLeaving_ = false;             ///< The upstream leaves the fleet; no new requests.
};

/** Reads and writes the header fields that a platform defines. */
class MessageCodec
{
public:
  using Fields = boost::beast::http::fields;

  virtual ~MessageCodec() = default;
  virtual RequestFacts ReadRequest(const Fields& aFields) const = 0;
  /**
   * Turns the header fields of a caller's request into those for an upstream: removes the
   * hop-by-hop fields, the caller's key and fields that only a host may set, then adds the host's
   * values.
   * @param aFields changed in place.
   * @param aFacts values to add.
   */
  virtual void PrepareForward(Fields& aFields, const ForwardFacts& aFacts) const = 0;
  /** @param aStatus HTTP status of the answer. @param aFields header fields of the answer. */
  virtual AnswerFacts ReadAnswer(unsigned aStatus, const Fields& aFields) const = 0;
  /** Adds the id of the caller's attempt to an answer that this host itself makes. */
  virtual void MarkOwnAnswer(Fields& aFields, const RequestId& aId) const = 0;
};

} // namespace laburnumweir

#endif
