/** @file request_handler_base.h Interface between the callers' HTTP server and the request path. */
#ifndef LABURNUMWEIR_CALLER_REQUEST_HANDLER_BASE_H
#define LABURNUMWEIR_CALLER_REQUEST_HANDLER_BASE_H

#include "core/request_type.h"

#include <functional>
#include <memory>
#include <string>

namespace laburnumweir {

/**
 * Receives the answer to one request. Calls come from any thread, one at a time; each returns at
 * once. Either Complete(), or Begin() Chunk()* End(), or Fail() at any point ends the answer.
 */
class ResponseSink
{
public:
  virtual ~ResponseSink() = default;
  /** The request left the queue and is being sent to an upstream; reported as its stage only. */
  virtual void Started() {}
  /** Sends a whole answer. @param aStatus HTTP status. @param aHeaders fields. @param aBody body.
   */
  virtual void Complete(int aStatus, HeaderList aHeaders, std::string aBody) = 0;
  /** Starts a streamed answer. @param aStatus HTTP status. @param aHeaders fields. */
  virtual void Begin(int aStatus, HeaderList aHeaders) = 0;
  /**
   * Sends a part of a streamed answer.
   * @param aBytes the part.
   * @param aWritten called when more may be sent; bounds the memory that a slow reader holds.
   */
  virtual void Chunk(std::string aBytes, std::function<void()> aWritten) = 0;
  /** Ends a streamed answer that is complete. */
  virtual void End() = 0;
  /** Tells the caller of an error; after Begin() as an SSE error event and a cut connection. */
  virtual void Fail(CallerError aError) = 0;
};

/** A request being served. */
class RunningRequest
{
public:
  virtual ~RunningRequest() = default;
  /** The caller went away; the answer is no longer wanted. */
  virtual void Cancel() = 0;
};

/** Serves requests. Start() may be called from any traffic thread. */
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  /**
   * Starts to serve a request.
   * @param aRequest the request.
   * @param aSink receives the answer.
   * @return a handle to cancel it.
   */
  virtual std::shared_ptr<RunningRequest> Start(CallerRequest aRequest,
                                                std::shared_ptr<ResponseSink> aSink) = 0;
};

} // namespace laburnumweir

#endif
