/** @file duplicate_key.cpp Detection of repeated names in JSON objects. */
#include "caller/duplicate_key.h"

#include <boost/json/basic_parser_impl.hpp>
#include <limits>
#include <unordered_set>
#include <vector>

namespace laburnumweir {

namespace {

namespace json = boost::json;

/** Handler of parser events; stops the parser at the first repeated name. */
struct KeyHandler
{
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();  // NOLINT
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max(); // NOLINT
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max(); // NOLINT
  static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();    // NOLINT

  // NOLINTBEGIN(readability-identifier-naming): the names are given by the library.
  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_array_begin(json::error_code&) { return true; }
  bool on_array_end(std::size_t, json::error_code&) { return true; }
  bool on_object_begin(json::error_code&)
  {
    open_.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, json::error_code&)
  {
    open_.pop_back();
    return true;
  }
  bool on_key_part(json::string_view aPart, std::size_t, json::error_code&)
  {
    key_.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(json::string_view aPart, std::size_t, json::error_code& aError)
  {
    key_.append(aPart.data(), aPart.size());
    if (!open_.back().insert(key_).second) {
      duplicate_ = key_;
      aError = json::error::syntax;
      return false;
    }
    key_.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
  bool on_string(json::string_view, std::size_t, json::error_code&) { return true; }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code&) { return true; }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return true; }
  bool on_double(double, json::string_view, json::error_code&) { return true; }
  bool on_bool(bool, json::error_code&) { return true; }
  bool on_null(json::error_code&) { return true; }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  std::vector<std::unordered_set<std::string>> open_; ///< Names seen in each open object.
  std::string key_;                                   ///< Name being read.
  std::optional<std::string> duplicate_;              ///< The repeated name.
};

} // namespace

std::optional<std::string>
FindDuplicateKey(std::string_view aJson)
{
  json::basic_parser<KeyHandler> parser{ json::parse_options{} };
  json::error_code error;
  parser.write_some(false, aJson.data(), aJson.size(), error);
  return parser.handler().duplicate_;
}

} // namespace laburnumweir
