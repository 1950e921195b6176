/** @file id_type.h Identifier types that do not convert to each other. */
#ifndef LABURNUMWEIR_CORE_ID_TYPE_H
#define LABURNUMWEIR_CORE_ID_TYPE_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumweir {

/** An identifier with a string value. Each @p Tag makes a distinct type, so that an identifier of
 * one kind cannot be passed where another is expected. */
template<typename Tag>
class StringId
{
public:
  StringId() = default;
  explicit StringId(std::string aValue)
    : value_(std::move(aValue))
  {
  }
  explicit StringId(std::string_view aValue)
    : value_(aValue)
  {
  }
  explicit StringId(const char* aValue)
    : value_(aValue)
  {
  }

  const std::string& Value() const { return value_; }
  /** @return whether no identifier is set. */
  bool IsEmpty() const { return value_.empty(); }

  auto operator<=>(const StringId&) const = default;

private:
  std::string value_;
};

using HostId =
  StringId<struct HostTag>; ///< One process of this system between callers and upstreams.
using DataCentreId = StringId<struct DataCentreTag>;
using WorkspaceId = StringId<struct WorkspaceTag>; ///< A tenant.
using UpstreamId =
  StringId<struct UpstreamTag>; ///< A model engine or an instance of a plain service.
using ClassId =
  StringId<struct ClassTag>; ///< A request class, chosen by the caller with X-Request-Class.
using RequestId = StringId<struct RequestTag>;   ///< Unique for each attempt of a caller.
using KeyDigest = StringId<struct KeyDigestTag>; ///< SHA-256 of a caller's key, 64 hex digits.
using ServiceName =
  StringId<struct ServiceTag>; ///< A plain service that several upstreams provide.
using SoftwareVersion =
  StringId<struct SoftwareTag>; ///< Software that an upstream runs; without an order.

/** Offset of a record in a stream of the log. The revision of the rules is the offset up to which
 * the records have been applied. */
using LogOffset = std::uint64_t;
/** Number of model tokens. */
using TokenCount = std::int64_t;

/** One version of one adapter, written `name@version`. */
struct AdapterRef
{
  std::string name_;
  std::string version_;

  auto operator<=>(const AdapterRef&) const = default;

  std::string ToString() const { return name_ + "@" + version_; }

  /**
   * Parses the `name@version` form. The last `@` separates name and version.
   * @param aResult receives the reference; unchanged on failure.
   * @return false if the name or the version is missing.
   */
  static bool Parse(std::string_view aText, AdapterRef& aResult)
  {
    const auto at = aText.rfind('@');
    if (at == std::string_view::npos || at == 0 || at + 1 == aText.size()) {
      return false;
    }
    aResult.name_ = std::string(aText.substr(0, at));
    aResult.version_ = std::string(aText.substr(at + 1));
    return true;
  }
};

} // namespace laburnumweir

template<typename Tag>
struct std::hash<laburnumweir::StringId<Tag>>
{
  std::size_t operator()(const laburnumweir::StringId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Value());
  }
};

template<>
struct std::hash<laburnumweir::AdapterRef>
{
  std::size_t operator()(const laburnumweir::AdapterRef& aRef) const noexcept
  {
    return std::hash<std::string>{}(aRef.name_) * 31 + std::hash<std::string>{}(aRef.version_);
  }
};

#endif
