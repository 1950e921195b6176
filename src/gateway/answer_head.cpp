/** @file answer_head.cpp Head of an answer to a caller. */
#include "gateway/answer_head.h"

#include "http/header_func.h"

#include <boost/beast/http/status.hpp>

namespace laburnumweir {

namespace http = boost::beast::http;

http::fields
EndToEndFields(const http::fields& aFields)
{
  http::fields fields;
  const std::string connection(aFields[http::field::connection]);
  for (const auto& field : aFields) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (!IsHopByHop(name, connection) && field.name() != http::field::content_length) {
      fields.insert(field.name_string(), field.value());
    }
  }
  return fields;
}

std::string
AnswerHeadText(unsigned aStatus, std::string_view aReason, const http::fields& aFields)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  if (aReason.empty()) {
    const auto reason = http::obsolete_reason(http::int_to_status(aStatus));
    text.append(reason.data(), reason.size());
  } else {
    text.append(aReason);
  }
  text += "\r\n";
  for (const auto& field : aFields) {
    text.append(field.name_string().data(), field.name_string().size()).append(": ");
    text.append(field.value().data(), field.value().size()).append("\r\n");
  }
  text += "\r\n";
  return text;
}

} // namespace laburnumweir
