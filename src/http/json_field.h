/** @file json_field.h Checked access to the fields of a JSON answer. */
#ifndef LABURNUMWEIR_HTTP_JSON_FIELD_H
#define LABURNUMWEIR_HTTP_JSON_FIELD_H

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <concepts>
#include <string>
#include <string_view>

namespace laburnumweir {

/**
 * Parses a text that must hold one JSON object.
 * @param aText the text. @param aObject receives the object.
 * @return false if the text is anything else.
 */
inline bool
ParseJsonObject(std::string_view aText, boost::json::object& aObject)
{
  boost::json::error_code error;
  auto value = boost::json::parse(aText, error);
  if (error || !value.is_object()) {
    return false;
  }
  aObject = std::move(value.get_object());
  return true;
}

/**
 * Reads a text field.
 * @param aObject the object. @param aKey key. @param aResult receives the text.
 * @return false if the field is absent or no string.
 */
inline bool
ReadField(const boost::json::object& aObject, std::string_view aKey, std::string& aResult)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string()) {
    return false;
  }
  aResult = std::string(value->get_string());
  return true;
}

/**
 * Reads a field with a truth value.
 * @param aObject the object. @param aKey key. @param aResult receives the value.
 * @return false if the field is absent or no truth value.
 */
inline bool
ReadField(const boost::json::object& aObject, std::string_view aKey, bool& aResult)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_bool()) {
    return false;
  }
  aResult = value->get_bool();
  return true;
}

/**
 * Reads a field with a whole number.
 * @param aObject the object. @param aKey key. @param aResult receives the number.
 * @return false if the field is absent, no whole number, or out of the range of the type.
 */
template<typename Number>
requires std::integral<Number> || std::floating_point<Number>
bool
ReadField(const boost::json::object& aObject, std::string_view aKey, Number& aResult)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_number()) {
    return false;
  }
  boost::json::error_code error;
  const auto number = value->to_number<Number>(error);
  if (error) {
    return false;
  }
  aResult = number;
  return true;
}

} // namespace laburnumweir

#endif
