/** @file request_contents_func.cpp What a request may have in common with others. */
#include "gateway/request_contents_func.h"

#include "core/hash_func.h"
#include "table/quarantine_const.h"

#include <algorithm>

namespace laburnumweir {

namespace http = boost::beast::http;

namespace {

/**
 * @return digest of what stays the same if the caller sends the request again. It cannot equal the
 * id of a part of a prompt.
 */
ContentId
DigestOf(const HttpRequest& aRequest, const WorkspaceId& aWorkspace)
{
  std::string head;
  for (const auto text :
       { aRequest.method_string(), aRequest[http::field::host], aRequest.target() }) {
    head.append(text.data(), text.size()).push_back('\n');
  }
  head += aWorkspace.Value();
  return ContentId("request:" + std::to_string(RendezvousWeight(head, aRequest.body().View())));
}

bool
IsMessageable(std::string_view aPart)
{
  return aPart.size() <= kMaxContentBytes &&
         std::all_of(
           aPart.begin(), aPart.end(), [](char aByte) { return aByte >= ' ' && aByte <= '~'; });
}

} // namespace

RequestContents
ContentsOf(const HttpRequest& aRequest,
           const WorkspaceId& aWorkspace,
           std::vector<std::string> aSharedParts)
{
  RequestContents contents{ {}, DigestOf(aRequest, aWorkspace) };
  contents.parts_.reserve(aSharedParts.size());
  for (auto& part : aSharedParts) {
    contents.parts_.emplace_back(IsMessageable(part) ? std::move(part) : Sha256Hex(part));
  }
  return contents;
}

std::size_t
BytesOf(const RequestContents& aContents)
{
  static const std::size_t kInnerBytes = std::string().capacity();
  std::size_t bytes = aContents.parts_.capacity() * sizeof(ContentId);
  for (const auto& part : aContents.parts_) {
    const auto capacity = part.Value().capacity();
    bytes += capacity > kInnerBytes ? capacity + 1 : 0;
  }
  return bytes;
}

} // namespace laburnumweir
