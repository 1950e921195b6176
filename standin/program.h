/** @file program.h Stand-ins of one process, made from a configuration. */
#ifndef LABURNUMWEIR_STANDIN_PROGRAM_H
#define LABURNUMWEIR_STANDIN_PROGRAM_H

#include "core/upstream_client_base.h"
#include "standin/stand_in.h"

#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumweir::standin {

/** Owns the stand-ins of a process and the control port for all of them. */
class Program
{
public:
  explicit Program(boost::asio::io_context& aContext);
  ~Program();

  /**
   * Makes the stand-ins and starts to listen. Throws std::runtime_error on a bad configuration.
   * @param aConfig JSON text; comments are allowed.
   * @param aOutput receives a line for each port.
   */
  void Start(const std::string& aConfig, std::ostream& aOutput);
  /** @return the port of a stand-in, or 0. @param aName its name, or "control". */
  std::uint16_t Port(const std::string& aName) const;

private:
  struct Item;
  void Make(const Item& aItem, std::ostream& aOutput);
  Endpoint WeightStore(Settings& aSettings) const;
  void Control(const Request& aRequest, Reply& aReply);

  boost::asio::io_context& context_;                         ///< Runs everything.
  std::map<std::string, std::unique_ptr<StandIn>> standIns_; ///< By name.
  std::map<std::string, Endpoint> endpoints_;                ///< By name.
  std::unique_ptr<HttpServer> control_;                      ///< Control port; may be null.
};

} // namespace laburnumweir::standin

#endif
