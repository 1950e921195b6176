/** @file settings.cpp Typed access to the settings of a stand-in, with errors for unknown keys. */
#include "standin/settings.h"

#include <boost/json.hpp>
#include <stdexcept>

namespace laburnumweir::standin {

Settings::Settings(boost::json::object aObject, std::string aWhere)
  : object_(std::move(aObject))
  , where_(std::move(aWhere))
{
}

const boost::json::value*
Settings::Find(std::string_view aKey)
{
  read_.emplace(aKey);
  return object_.if_contains(aKey);
}

void
Settings::Fail(std::string_view aKey, std::string_view aExpected) const
{
  throw std::runtime_error(where_ + ": \"" + std::string(aKey) + "\" must be " +
                           std::string(aExpected));
}

double
Settings::Number(std::string_view aKey, double aDefault)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const auto result = value->to_number<double>(error);
  if (error || result < 0) {
    Fail(aKey, "a number that is not negative");
  }
  return result;
}

std::uint64_t
Settings::Count(std::string_view aKey, std::uint64_t aDefault)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const auto result = value->to_number<std::uint64_t>(error);
  if (error) {
    Fail(aKey, "a whole number that is not negative");
  }
  return result;
}

std::chrono::nanoseconds
Settings::Millis(std::string_view aKey, double aDefaultMs)
{
  return std::chrono::nanoseconds(static_cast<std::int64_t>(Number(aKey, aDefaultMs) * 1e6));
}

std::string
Settings::Text(std::string_view aKey, std::string_view aDefault)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return std::string(aDefault);
  }
  if (!value->is_string()) {
    Fail(aKey, "a string");
  }
  return std::string(value->get_string());
}

boost::json::object
Settings::Object(std::string_view aKey)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_object()) {
    Fail(aKey, "an object");
  }
  return value->get_object();
}

void
Settings::RequireAllRead() const
{
  for (const auto& item : object_) {
    if (read_.find(std::string(item.key())) == read_.end()) {
      throw std::runtime_error(where_ + ": unknown key \"" + std::string(item.key()) + "\"");
    }
  }
}

} // namespace laburnumweir::standin
