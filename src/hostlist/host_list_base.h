/** @file host_list_base.h Interface to the platform's list of hosts. */
#ifndef LABURNUMWEIR_HOSTLIST_HOST_LIST_BASE_H
#define LABURNUMWEIR_HOSTLIST_HOST_LIST_BASE_H

#include "core/upstream_client_base.h"

#include <functional>
#include <system_error>
#include <vector>

namespace laburnumweir {

/** An entry of the host list; it may lag behind the truth. */
struct ListedHost
{
  HostId id_;               ///< Name of the host.
  Endpoint peerEndpoint_;   ///< Where its peer protocol listens.
  DataCentreId dataCentre_; ///< Data centre it stands in.
  bool isLeaving_ = false;  ///< Whether the platform is about to take it away.
};

/** Errors of the host list client. */
enum class HostListError
{
  Unreachable = 1, ///< No answer.
  InvalidAnswer,   ///< The answer could not be understood.
};

/** @return the category of HostListError. */
const std::error_category&
HostListCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(HostListError aError);

/** Reads the host list. */
class HostListClient
{
public:
  using Callback = std::function<void(std::error_code, std::vector<ListedHost>)>;
  virtual ~HostListClient() = default;
  /** Reads the list. */
  virtual void Fetch(Callback aCallback) = 0;
  /** Registers or refreshes this host in the list. */
  virtual void Announce(const ListedHost& aHost,
                        std::function<void(std::error_code)> aCallback) = 0;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::HostListError> : std::true_type
{
};

#endif
