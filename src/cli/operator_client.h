/** @file operator_client.h Calls a host's operators' endpoint and waits for the answer. */
#ifndef LABURNUMWEIR_CLI_OPERATOR_CLIENT_H
#define LABURNUMWEIR_CLI_OPERATOR_CLIENT_H

#include "cli/command_options.h"
#include "http/json_client.h"

#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace laburnumweir {

/** An answer of the operators' endpoint. */
struct OperatorAnswer
{
  std::error_code error_;   ///< Set if no answer came.
  int status_ = 0;          ///< HTTP status.
  boost::json::value body_; ///< Body; null if it is no JSON.
  std::string text_;        ///< Body as it came.
};

/** Blocking client of the operators' endpoint, for the command line. */
class OperatorClient
{
public:
  /**
   * Makes a client from `--operator` and `--token-file`.
   * @param aOptions parsed options.
   * @return the client, or nothing after an error was printed.
   */
  static std::optional<OperatorClient> FromOptions(const CommandOptions& aOptions);

  /**
   * Sends a request and waits.
   * @param aMethod HTTP method.
   * @param aTarget path and query.
   * @param aBody JSON text; may be empty.
   * @return the answer.
   */
  OperatorAnswer Send(const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody = {}) const;

  /** Prints why an answer is not the one expected. @param aAnswer the answer. */
  void PrintFailure(const OperatorAnswer& aAnswer) const;
  /** @return the endpoint as text. */
  std::string Address() const;

private:
  Endpoint endpoint_; ///< Operators' endpoint.
  std::string token_; ///< Operators' token.
};

} // namespace laburnumweir

#endif
