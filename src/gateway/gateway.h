/** @file gateway.h Entry point of a host: runs all its services until it is stopped. */
#ifndef LABURNUMWEIR_GATEWAY_GATEWAY_H
#define LABURNUMWEIR_GATEWAY_GATEWAY_H

#include "fleet/duty_client_base.h"
#include "fleet/engine_control_base.h"
#include "fleet/fleet_store_base.h"
#include "fleet/usage_log_base.h"
#include "gateway/gateway_settings.h"
#include "gateway/message_codec_base.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

namespace laburnumweir {

/** Interfaces to the platform that a gateway uses. All of them must outlive the gateway. */
struct GatewayPorts
{
  FleetStore& store_;
  EngineControl& engines_;
  const MessageCodec& codec_;
  /** Reads the settings again. Returns none if they are invalid or cannot be read. */
  std::function<std::optional<GatewaySettings>()> reload_;
  UsageLog* usageLog_ = nullptr; ///< Stream of usage reports; nullptr if they are not enabled.
  DutyClient* duties_ = nullptr; ///< The platform's API for duties; nullptr if it is not enabled.
};

/**
 * Runs a gateway on this thread. After SIGTERM or SIGINT it drains: it returns at the end of the
 * running requests or of the grace period, or at once on a second such signal. SIGHUP reloads the
 * settings.
 * @param aContext event loop of the gateway; stopped when the gateway ends.
 * @return false if an address could not be bound.
 */
bool
RunGateway(boost::asio::io_context& aContext,
           const GatewaySettings& aSettings,
           const GatewayPorts& aPorts);

} // namespace laburnumweir

#endif
