/** @file settings.h Typed access to the settings of a stand-in, with errors for unknown keys. */
#ifndef LABURNUMWEIR_STANDIN_SETTINGS_H
#define LABURNUMWEIR_STANDIN_SETTINGS_H

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace laburnumweir::standin {

/** Reads a JSON object key by key. Wrong types throw std::runtime_error. */
class Settings
{
public:
  /** @param aObject what is read. @param aWhere named in errors. */
  Settings(boost::json::object aObject, std::string aWhere);

  /** @return a number. @param aKey key. @param aDefault if absent. */
  double Number(std::string_view aKey, double aDefault);
  /** @return a whole number. @param aKey key. @param aDefault if absent. */
  std::uint64_t Count(std::string_view aKey, std::uint64_t aDefault);
  /** @return a duration given in ms. @param aKey key. @param aDefaultMs if absent. */
  std::chrono::nanoseconds Millis(std::string_view aKey, double aDefaultMs);
  /** @return a text. @param aKey key. @param aDefault if absent. */
  std::string Text(std::string_view aKey, std::string_view aDefault);
  /** @return a value, or nullptr. @param aKey key. */
  const boost::json::value* Find(std::string_view aKey);
  /** @return an object; empty if absent. @param aKey key. */
  boost::json::object Object(std::string_view aKey);
  /** Throws if the object has a key that was never read. */
  void RequireAllRead() const;
  /** Throws an error. @param aKey key at fault. @param aExpected what was expected. */
  [[noreturn]] void Fail(std::string_view aKey, std::string_view aExpected) const;

private:
  boost::json::object object_; ///< What is read.
  std::string where_;          ///< Named in errors.
  std::set<std::string> read_; ///< Keys read so far.
};

} // namespace laburnumweir::standin

#endif
