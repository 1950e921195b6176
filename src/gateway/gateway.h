/** @file gateway.h A host between callers and upstreams on the users' platform. */
#ifndef LABURNUMWEIR_GATEWAY_GATEWAY_H
#define LABURNUMWEIR_GATEWAY_GATEWAY_H

#include "fleet/engine_control_base.h"
#include "fleet/fleet_store_base.h"
#include "gateway/gateway_settings.h"
#include "gateway/message_codec_base.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

namespace laburnumweir {

/** Adapters to the platform that a gateway uses. */
struct GatewayPorts
{
  FleetStore& store_;         ///< Store.
  EngineControl& engines_;    ///< Orders to engines.
  const MessageCodec& codec_; ///< Fields of messages.
  /** Reads the settings again; none if they cannot be used. */
  std::function<std::optional<GatewaySettings>()> reload_;
};

/**
 * Runs a gateway until SIGTERM and the end of its requests, or the end of the grace period.
 * @param aContext runs everything, on this thread.
 * @param aSettings settings.
 * @param aPorts adapters to the platform.
 * @return whether it could start.
 */
bool
RunGateway(boost::asio::io_context& aContext,
           const GatewaySettings& aSettings,
           const GatewayPorts& aPorts);

} // namespace laburnumweir

#endif
