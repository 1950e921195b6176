/** @file upstream_support.h Mock of UpstreamSink that records an answer. */
#ifndef LABURNUMWEIR_TESTS_SUPPORT_UPSTREAM_SUPPORT_H
#define LABURNUMWEIR_TESTS_SUPPORT_UPSTREAM_SUPPORT_H

#include "http/header_func.h"
#include "support/net_support.h"

#include <future>
#include <gmock/gmock.h>

namespace laburnumweir::testing_support {

/** Records the answer; each test fails if OnEnd() is not called exactly once. */
class MockUpstreamSink : public UpstreamSink
{
public:
  MOCK_METHOD(void, OnHead, (int aStatus, HeaderList aHeaders), (override));
  MOCK_METHOD(void, OnData, (std::string aBytes, std::function<void()> aContinue), (override));
  MOCK_METHOD(void, OnEnd, (const AttemptResult& aResult), (override));

  MockUpstreamSink()
  {
    using testing::_;
    ON_CALL(*this, OnHead(_, _)).WillByDefault([this](int aStatus, HeaderList aHeaders) {
      status_ = aStatus;
      headers_ = std::move(aHeaders);
    });
    ON_CALL(*this, OnData(_, _))
      .WillByDefault([this](const std::string& aBytes, const std::function<void()>& aContinue) {
        body_ += aBytes;
        parts_.push_back(aBytes);
        aContinue();
      });
    ON_CALL(*this, OnEnd(_)).WillByDefault([this](const AttemptResult& aResult) {
      end_.set_value(aResult);
    });
    EXPECT_CALL(*this, OnHead(_, _)).Times(testing::AtMost(1));
    EXPECT_CALL(*this, OnData(_, _)).Times(testing::AnyNumber());
    EXPECT_CALL(*this, OnEnd(_)).Times(1);
  }

  /** Waits for the end of the attempt. */
  AttemptResult Wait()
  {
    auto end = end_.get_future();
    if (end.wait_for(2 * kTestTimeout) != std::future_status::ready) {
      ADD_FAILURE() << "the attempt does not end";
      return {};
    }
    return end.get();
  }

  int status_ = 0;                 ///< Status passed on; 0 if none was.
  HeaderList headers_;             ///< Fields passed on.
  std::string body_;               ///< Bytes passed on.
  std::vector<std::string> parts_; ///< Calls of OnData().

private:
  std::promise<AttemptResult> end_; ///< Result.
};

/** An HTTP answer with a length. */
inline std::string
Answer(const std::string& aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** One chunk of a chunked body. */
inline std::string
ChunkOf(const std::string& aBytes)
{
  std::ostringstream size;
  size << std::hex << aBytes.size();
  return size.str() + "\r\n" + aBytes + "\r\n";
}

} // namespace laburnumweir::testing_support

#endif
