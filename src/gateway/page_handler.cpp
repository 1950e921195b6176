/** @file page_handler.cpp Serves one text page of a host, such as readiness or metrics. */
#include "gateway/page_handler.h"

namespace laburnumweir {

void
PageHandler::OnRequest(HttpRequest, std::shared_ptr<AnswerStream> aAnswer)
{
  namespace http = boost::beast::http;
  const auto [status, body] = page_();
  http::fields fields;
  fields.set(http::field::content_type, "text/plain");
  aAnswer->Begin(status, {}, fields, body.size());
  aAnswer->Data(body);
  aAnswer->End();
}

} // namespace laburnumweir
