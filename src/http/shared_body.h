/** @file shared_body.h Body of a request whose copies share its text. */
#ifndef LABURNUMWEIR_HTTP_SHARED_BODY_H
#define LABURNUMWEIR_HTTP_SHARED_BODY_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumweir {

/** Immutable text that all copies share. */
class SharedText
{
public:
  SharedText() = default;
  // NOLINTBEGIN(google-explicit-constructor): a text may stand where a body is expected
  /** @param aCompanion kept as long as the text, such as its charge in an account of memory. */
  SharedText(std::string aText, std::shared_ptr<const void> aCompanion = nullptr)
    : state_(std::make_shared<const State>(State{ std::move(aText), std::move(aCompanion) }))
  {
  }
  operator std::string_view() const { return state_ ? state_->text_ : std::string_view(); }
  // NOLINTEND(google-explicit-constructor)

  std::string_view View() const { return *this; }
  friend bool operator==(const SharedText& aText, std::string_view aOther)
  {
    return aText.View() == aOther;
  }

private:
  struct State
  {
    std::string text_;
    std::shared_ptr<const void> companion_;
  };
  std::shared_ptr<const State> state_; ///< Empty for an empty text without a companion.
};

/** Body of a message for Boost.Beast. A copy of the message does not copy the text. */
struct SharedBody
{
  // NOLINTBEGIN(readability-identifier-naming): names of the concept Body of Boost.Beast
  using value_type = SharedText;

  static std::uint64_t size(const value_type& aBody) { return aBody.View().size(); }

  class writer
  {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template<bool IsRequest, class Fields>
    writer(const boost::beast::http::header<IsRequest, Fields>& /*aHeader*/,
           const value_type& aBody)
      : text_(aBody.View())
    {
    }
    void init(boost::beast::error_code& aError) { aError = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& aError)
    {
      aError = {};
      return std::make_pair(const_buffers_type(text_.data(), text_.size()), false);
    }

  private:
    std::string_view text_;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace laburnumweir

#endif
