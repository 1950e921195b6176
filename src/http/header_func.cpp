/** @file header_func.cpp Rules for HTTP header fields that pass through this host. */
#include "http/header_func.h"

#include <algorithm>
#include <array>

namespace laburnumweir {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop{
  "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
  "expect",     "transfer-encoding", "http2-settings",
};

constexpr std::array<std::string_view, 5> kSecrets{
  "authorization", "proxy-authorization", "cookie", "x-api-key", "api-key",
};

char
Lower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

template<std::size_t N>
bool
Contains(const std::array<std::string_view, N>& aNames, std::string_view aName)
{
  return std::any_of(aNames.begin(), aNames.end(), [aName](std::string_view aEntry) {
    return EqualsIgnoreCase(aEntry, aName);
  });
}

/** @return whether a comma-separated list holds a token. */
bool
ListContains(std::string_view aList, std::string_view aToken)
{
  while (!aList.empty()) {
    if (EqualsIgnoreCase(TakeListItem(aList), aToken)) {
      return true;
    }
  }
  return false;
}

} // namespace

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aA, char aB) {
    return Lower(aA) == Lower(aB);
  });
}

std::string
ToLower(std::string_view aText)
{
  std::string result(aText);
  std::transform(result.begin(), result.end(), result.begin(), Lower);
  return result;
}

std::string_view
TakeListItem(std::string_view& aList)
{
  const auto comma = std::min(aList.find(','), aList.size());
  const auto item = aList.substr(0, comma);
  aList.remove_prefix(std::min(comma + 1, aList.size()));
  const auto first = item.find_first_not_of(" \t");
  return first == std::string_view::npos
           ? std::string_view()
           : item.substr(first, item.find_last_not_of(" \t") - first + 1);
}

std::string_view
FindField(const HeaderList& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
IsHopByHop(std::string_view aName, std::string_view aConnection)
{
  return Contains(kHopByHop, aName) || ListContains(aConnection, aName);
}

bool
IsFieldValue(std::string_view aText)
{
  return aText.size() <= kMaxFieldBytes && std::none_of(aText.begin(), aText.end(), [](char aByte) {
           const auto byte = static_cast<unsigned char>(aByte);
           return (byte < ' ' && byte != '\t') || byte == 0x7f;
         });
}

bool
IsCallerSecret(std::string_view aName)
{
  return Contains(kSecrets, aName);
}

} // namespace laburnumweir
