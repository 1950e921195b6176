/** @file rule_lexer.cpp Splits rule lines into words. */
#include "rules/rule_parser_func.h"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace laburnumweir::detail {

namespace {

constexpr std::size_t kMaxLineLength = 4096; // keeps one record of the log far below its size limit

bool
IsSpace(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

bool
IsControl(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return (byte < ' ' && aCharacter != '\t') || byte == 0x7f;
}

/** Reads the words of one line from left to right. */
class Splitter
{
public:
  Splitter(std::string_view aText, std::size_t aLineNumber)
    : text_(aText)
    , line_(aLineNumber)
  {
  }

  std::optional<RuleError> Run(RuleWords& aResult)
  {
    if (text_.size() > kMaxLineLength) {
      return Error(RuleErrc::InvalidValue, kMaxLineLength, "at most 4096 bytes in a line");
    }
    const auto control = std::find_if(text_.begin(), text_.end(), IsControl);
    if (control != text_.end()) {
      const auto at = static_cast<std::size_t>(control - text_.begin());
      return RuleError{ make_error_code(RuleErrc::UnexpectedCharacter),
                        line_,
                        at + 1,
                        "printable text",
                        "byte " + std::to_string(static_cast<unsigned char>(*control)) };
    }
    // The log's records are JSON, which holds only valid UTF-8.
    for (const char* at = text_.data(); at != text_.data() + text_.size();) {
      const char* const start = at;
      const auto codePoint =
        boost::locale::utf::utf_traits<char>::decode(at, text_.data() + text_.size());
      if (!boost::locale::utf::is_valid_codepoint(codePoint)) {
        return RuleError{ make_error_code(RuleErrc::UnexpectedCharacter),
                          line_,
                          static_cast<std::size_t>(start - text_.data()) + 1,
                          "UTF-8 text",
                          "byte " + std::to_string(static_cast<unsigned char>(*start)) };
      }
    }
    while (true) {
      const std::size_t end = position_;
      SkipSpaces();
      if (position_ == text_.size() || text_[position_] == '#') {
        aResult.endColumn_ = end + 1;
        break;
      }
      if (position_ == end && position_ != 0) {
        return Error(RuleErrc::UnexpectedCharacter, position_, "a space after the quoted value");
      }
      RuleWord word;
      if (auto error = ReadWord(word)) {
        return error;
      }
      aResult.words_.push_back(std::move(word));
    }
    ReadComment(aResult);
    return std::nullopt;
  }

private:
  void SkipSpaces()
  {
    while (position_ < text_.size() && IsSpace(text_[position_])) {
      ++position_;
    }
  }

  std::optional<RuleError> Error(RuleErrc aCode, std::size_t aAt, std::string aExpected) const
  {
    std::string found;
    if (aAt < text_.size()) {
      found = std::string(text_.substr(aAt, 1));
    }
    return RuleError{ make_error_code(aCode), line_, aAt + 1, std::move(aExpected), found };
  }

  /** @return length of an attribute's name with its '=' at the position, or 0. */
  std::size_t AttributeLength() const
  {
    std::size_t end = position_;
    while (end < text_.size() &&
           ((text_[end] >= 'a' && text_[end] <= 'z') || (text_[end] == '-' && end > position_))) {
      ++end;
    }
    const bool isAttribute = end > position_ && end < text_.size() && text_[end] == '=';
    return isAttribute ? end + 1 - position_ : 0;
  }

  std::optional<RuleError> ReadWord(RuleWord& aWord)
  {
    aWord.column_ = position_ + 1;
    const std::size_t length = AttributeLength();
    if (length > 0) {
      aWord.isAttribute_ = true;
      aWord.key_ = std::string(text_.substr(position_, length - 1));
      position_ += length;
    }
    aWord.valueColumn_ = position_ + 1;
    if (position_ < text_.size() && text_[position_] == '"') {
      aWord.isQuoted_ = true;
      return ReadQuoted(aWord.value_);
    }
    while (position_ < text_.size() && !IsSpace(text_[position_]) && text_[position_] != '#') {
      if (text_[position_] == '"') {
        return Error(
          RuleErrc::UnexpectedCharacter, position_, "a quote only at the start of a value");
      }
      aWord.value_ += text_[position_++];
    }
    if (aWord.value_.empty()) {
      return Error(RuleErrc::MissingWord, position_, "a value after '" + aWord.key_ + "='");
    }
    return std::nullopt;
  }

  std::optional<RuleError> ReadQuoted(std::string& aValue)
  {
    ++position_;
    while (position_ < text_.size() && text_[position_] != '"') {
      if (text_[position_] == '\\') {
        ++position_;
        if (position_ == text_.size()) {
          break;
        }
        if (text_[position_] != '"' && text_[position_] != '\\') {
          return Error(RuleErrc::UnexpectedCharacter, position_, "'\"' or '\\' after '\\'");
        }
      }
      aValue += text_[position_++];
    }
    if (position_ == text_.size()) {
      return Error(RuleErrc::UnterminatedQuote, position_, "a closing quote");
    }
    ++position_;
    return std::nullopt;
  }

  void ReadComment(RuleWords& aResult)
  {
    if (position_ == text_.size()) {
      return;
    }
    std::string_view comment = text_.substr(position_ + 1);
    while (!comment.empty() && IsSpace(comment.front())) {
      comment.remove_prefix(1);
    }
    while (!comment.empty() && IsSpace(comment.back())) {
      comment.remove_suffix(1);
    }
    aResult.comment_ = std::string(comment);
  }

  std::string_view text_;    ///< The line.
  std::size_t line_;         ///< Number of the line.
  std::size_t position_ = 0; ///< Next character.
};

} // namespace

std::optional<RuleError>
SplitRuleLine(std::string_view aText, std::size_t aLineNumber, RuleWords& aResult)
{
  return Splitter(aText, aLineNumber).Run(aResult);
}

} // namespace laburnumweir::detail
