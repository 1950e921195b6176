/** @file operator_client.cpp Calls a host's operators' endpoint and waits for the answer. */
#include "cli/operator_client.h"

#include "http/endpoint_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdlib>
#include <iostream>

namespace laburnumweir {

std::optional<OperatorClient>
OperatorClient::FromOptions(const CommandOptions& aOptions)
{
  OperatorClient client;
  if (!ParseEndpoint(aOptions.Text("operator"), client.endpoint_)) {
    std::cerr << "laburnumweir: --operator: expected ADDRESS:PORT with an IP address, found \""
              << aOptions.Text("operator") << "\"\n";
    return std::nullopt;
  }
  if (aOptions.Has("token-file")) {
    if (!ReadFile(aOptions.Text("token-file"), client.token_)) {
      return std::nullopt;
    }
    client.token_.erase(client.token_.find_last_not_of(" \n\r\t") + 1);
  } else if (const char* token = std::getenv("LABURNUMWEIR_TOKEN")) {
    client.token_ = token;
  }
  return client;
}

OperatorAnswer
OperatorClient::Send(const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aBody) const
{
  boost::asio::io_context context;
  JsonClient client(context, endpoint_);
  HttpExchange exchange;
  exchange.method_ = aMethod;
  exchange.target_ = aTarget;
  exchange.body_ = aBody;
  exchange.timeout_ = std::chrono::seconds(5);
  if (!token_.empty()) {
    exchange.headers_.emplace_back("Authorization", "Bearer " + token_);
  }
  OperatorAnswer result;
  client.Send(std::move(exchange), [&result](std::error_code aError, HttpAnswer aAnswer) {
    result.error_ = aError;
    result.status_ = aAnswer.status_;
    result.text_ = std::move(aAnswer.body_);
  });
  context.run();
  boost::system::error_code ignored;
  result.body_ = boost::json::parse(result.text_, ignored);
  return result;
}

void
OperatorClient::PrintFailure(const OperatorAnswer& aAnswer) const
{
  std::cerr << "laburnumweir: " << Address() << ": ";
  if (aAnswer.error_) {
    std::cerr << aAnswer.error_.message() << "\n";
    return;
  }
  std::cerr << "HTTP " << aAnswer.status_;
  if (const auto* object = aAnswer.body_.if_object()) {
    if (const auto* error = object->if_contains("error")) {
      if (error->is_object() && error->as_object().contains("message")) {
        std::cerr << ": " << error->as_object().at("message").as_string().c_str();
      }
    }
  }
  std::cerr << "\n";
}

std::string
OperatorClient::Address() const
{
  return endpoint_.address_ + ":" + std::to_string(endpoint_.port_);
}

} // namespace laburnumweir
