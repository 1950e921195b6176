/** @file append_body.h Body of an HTTP message that grows as it is parsed. */
#ifndef LABURNUMWEIR_HTTP_APPEND_BODY_H
#define LABURNUMWEIR_HTTP_APPEND_BODY_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace laburnumweir {

/** Body of an answer. Unlike http::string_body it reserves nothing for an announced length, so that
 * the announcement of a large body costs no memory. */
struct AppendBody
{
  using value_type = std::string; // NOLINT(readability-identifier-naming)

  /** Appends what was parsed. */
  class reader // NOLINT(readability-identifier-naming)
  {
  public:
    template<bool isRequest, class Fields>
    explicit reader(boost::beast::http::header<isRequest, Fields>& /*aHeader*/, value_type& aBody)
      : body_(aBody)
    {
    }
    // NOLINTNEXTLINE(readability-identifier-naming)
    void init(const boost::optional<std::uint64_t>& /*aLength*/, boost::system::error_code& aError)
    {
      aError = {};
    }
    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError) // NOLINT
    {
      std::size_t size = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(aBuffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      aError = {};
      return size;
    }
    // NOLINTNEXTLINE(readability-identifier-naming)
    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    value_type& body_; ///< Receives the bytes.
  };
};

} // namespace laburnumweir

#endif
