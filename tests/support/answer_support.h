/** @file answer_support.h Heads of answers that every reader of answers must refuse, or accept. */
#ifndef LABURNUMWEIR_TESTS_SUPPORT_ANSWER_SUPPORT_H
#define LABURNUMWEIR_TESTS_SUPPORT_ANSWER_SUPPORT_H

#include <ostream>
#include <string>
#include <vector>

namespace laburnumweir::testing_support {

/** Status line of an answer and one of its fields. */
struct HeadCase
{
  const char* name_; ///< Name of the test.
  std::string statusLine_ = "HTTP/1.1 200 OK";
  std::string field_ = {}; ///< With its line end; may be empty.

  /** @param aFields further fields, each with its line end. @return an answer with a body. */
  std::string Answer(const std::string& aFields, const std::string& aBody) const
  {
    return statusLine_ + "\r\n" + aFields + field_ +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }
};

inline void
PrintTo(const HeadCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name_;
}

/** @return heads whose status line is not one of HTTP/1.x. */
inline std::vector<HeadCase>
InvalidStatusLines()
{
  return {
    { "StatusZero", "HTTP/1.1 000 OK" },
    { "StatusBelowTheClasses", "HTTP/1.1 099 OK" },
    { "StatusAboveTheClasses", "HTTP/1.1 600 OK" },
    { "LargestStatus", "HTTP/1.1 999 OK" },
    { "StatusOfTwoDigits", "HTTP/1.1 20 OK" },
    { "StatusOfFourDigits", "HTTP/1.1 2000 OK" },
    { "StatusWithASign", "HTTP/1.1 +20 OK" },
    { "StatusAfterTwoBlanks", "HTTP/1.1  200 OK" },
    { "StatusAfterATab", "HTTP/1.1\t200 OK" },
    { "NoStatus", "HTTP/1.1 OK" },
    { "LaterVersion", "HTTP/2.0 200 OK" },
    { "EarlierVersion", "HTTP/0.9 200 OK" },
    { "LowerCaseVersion", "http/1.1 200 OK" },
    { "ControlByteInTheReason", "HTTP/1.1 200 O\x01K" },
    { "AnswerInTheReason", "HTTP/1.1 200 HTTP/1.1 500 Error" },
  };
}

/** @return heads with a line that is no field. */
inline std::vector<HeadCase>
InvalidFields()
{
  const std::string ok = "HTTP/1.1 200 OK";
  return {
    { "BlankInAName", ok, "X A: b\r\n" },
    { "BlankAfterAName", ok, "X-A : b\r\n" },
    { "BlankBeforeTheFirstName", ok + "\r\n X-A: b" },
    { "TabInAName", ok, "X\tA: b\r\n" },
    { "TabAfterAName", ok, "X-A\t: b\r\n" },
    { "ControlByteInAName", ok, "X-\x01: b\r\n" },
    { "ControlByteBeforeAName", ok, "\x1bX-A: b\r\n" },
    { "NulInAName", ok, std::string("X-\0A: b\r\n", 9) },
    { "DeleteInAName", ok, "X-\x7f: b\r\n" },
    { "HighByteInAName", ok, "X-\xe9: b\r\n" },
    { "SeparatorInAName", ok, "X(A): b\r\n" },
    { "EmptyName", ok, ": b\r\n" },
    { "NoColon", ok, "X-A\r\n" },
    { "ControlByteInAValue", ok, "X-A: \x01\r\n" },
    { "AnswerInAField", ok, "X-A: bHTTP/1.1 500 Error\r\n" },
    { "LengthWithABlank", ok, "Content-Length : 2\r\n" },
    { "ChunkedWithABlank", ok, "Transfer-Encoding : chunked\r\n" },
  };
}

/** @return heads that are unusual and valid. */
inline std::vector<HeadCase>
UnusualHeads()
{
  return {
    { "EmptyReason", "HTTP/1.1 200 " },
    { "LongReason", "HTTP/1.1 200 all\tis w\xe9ll, 0" },
    { "UnassignedStatus", "HTTP/1.1 299 OK" },
    { "UnusualName", "HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~9: b\r\n" },
    { "EmptyValue", "HTTP/1.1 200 OK", "X-A:\r\n" },
    { "BlankValue", "HTTP/1.1 200 OK", "X-A: \t \r\n" },
    { "UnusualValue", "HTTP/1.1 200 OK", "X-A:a:\tb: \xe9\r\n" },
  };
}

} // namespace laburnumweir::testing_support

#endif
