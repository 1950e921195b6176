/** @file engine_admin_base.h Interface for orders to a model engine and for its load report. */
#ifndef LABURNUMWEIR_ENGINE_ENGINE_ADMIN_BASE_H
#define LABURNUMWEIR_ENGINE_ENGINE_ADMIN_BASE_H

#include "core/upstream_client_base.h"

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace laburnumweir {

/** An adapter that an engine holds. */
struct ResidentAdapter
{
  AdapterRef adapter_;        ///< The adapter.
  std::uint32_t running_ = 0; ///< Requests that run on it now.
};

/** State of an engine as it reports it; the report may lag. */
struct EngineReport
{
  std::string epoch_;         ///< Identifies the engine's process; changes at a restart.
  std::string model_;         ///< Base model.
  std::uint32_t slots_ = 0;   ///< Adapter slots.
  std::uint32_t running_ = 0; ///< Requests that run.
  std::vector<ResidentAdapter> resident_; ///< Adapters held.
};

/** Errors of engine orders. */
enum class EngineError
{
  Unreachable = 1, ///< No connection; nothing was sent.
  AnswerLost,      ///< Sent without an answer; the order may have taken effect.
  StaleFencing,    ///< The engine has seen a higher fencing number.
  InUse,           ///< The adapter to evict runs requests.
  LoadFailed,      ///< The adapter could not be loaded.
  InvalidAnswer,   ///< The answer could not be understood.
  NoSlot,          ///< All slots are taken and no resident adapter to evict was named.
  Refused,         ///< The engine refused before doing anything.
};

/** @return the category of EngineError. */
const std::error_category&
EngineCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(EngineError aError);

/** Orders to engines. */
class EngineAdmin
{
public:
  using OrderCallback = std::function<void(std::error_code)>;
  using ReportCallback = std::function<void(std::error_code, EngineReport)>;

  virtual ~EngineAdmin() = default;
  /** Loads an adapter. @param aEvict adapter to evict first; empty names none. */
  virtual void Load(const Endpoint& aEngine,
                    const AdapterRef& aAdapter,
                    const AdapterRef& aEvict,
                    std::uint64_t aFencing,
                    OrderCallback aCallback) = 0;
  /** Reads the state of an engine. */
  virtual void Report(const Endpoint& aEngine, ReportCallback aCallback) = 0;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::EngineError> : std::true_type
{
};

#endif
