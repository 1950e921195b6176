/** @file json_row.h Reads the cells of JSON arrays with values of several types. */
#ifndef LABURNUMWEIR_HTTP_JSON_ROW_H
#define LABURNUMWEIR_HTTP_JSON_ROW_H

#include <boost/json.hpp>
#include <cstddef>
#include <string>

namespace laburnumweir {

/** @return text of a cell; empty if the cell is missing or of another type. */
inline std::string
TextAt(const boost::json::array& aRow, std::size_t aIndex)
{
  const auto* text = aIndex < aRow.size() ? aRow[aIndex].if_string() : nullptr;
  return text == nullptr ? std::string() : std::string(*text);
}

/** @return number in a cell; 0 if the cell is missing, not a number or out of range. */
template<typename Number>
Number
NumberAt(const boost::json::array& aRow, std::size_t aIndex)
{
  boost::json::error_code error;
  if (aIndex >= aRow.size()) {
    return 0;
  }
  const auto number = aRow[aIndex].to_number<Number>(error);
  return error ? Number(0) : number;
}

} // namespace laburnumweir

#endif
