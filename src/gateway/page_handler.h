/** @file page_handler.h Serves one text page of a host, such as readiness or metrics. */
#ifndef LABURNUMWEIR_GATEWAY_PAGE_HANDLER_H
#define LABURNUMWEIR_GATEWAY_PAGE_HANDLER_H

#include "gateway/caller_session.h"

#include <functional>
#include <string>
#include <utility>

namespace laburnumweir {

/** Serves one text page at every path. */
class PageHandler : public HttpHandler
{
public:
  /** Returns status and body. */
  using Page = std::function<std::pair<unsigned, std::string>()>;

  explicit PageHandler(Page aPage)
    : page_(std::move(aPage))
  {
  }
  void OnRequest(HttpRequest aRequest, std::shared_ptr<AnswerStream> aAnswer) override;

private:
  Page page_;
};

} // namespace laburnumweir

#endif
