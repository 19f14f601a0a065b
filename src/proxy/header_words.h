// The encoding of the values that proxies send each other in HTTP headers: a
// list of words separated by spaces. "-" stands for an empty word, and a byte
// that could not stand in a word is written as "%" and its two hex digits.
#ifndef FIREFLYSPAR_PROXY_HEADER_WORDS_H_
#define FIREFLYSPAR_PROXY_HEADER_WORDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::proxy {

// Writes words separated by spaces.
class word_writer {
 public:
  word_writer& Add(std::string_view word);
  word_writer& Add(std::int64_t number) { return Add(std::to_string(number)); }
  word_writer& Add(base::duration span) { return Add(span.count()); }

  std::string Text() && { return std::move(text_); }

 private:
  std::string text_;
};

// Reads the words that word_writer wrote. Ok() stays false once a word was
// missing or malformed.
class word_reader {
 public:
  explicit word_reader(std::string_view text) : text_(text) {}

  bool Ok() const { return ok_; }

  // Returns whether there are no more words.
  bool AtEnd() const { return text_.empty(); }

  std::string Word();
  std::int64_t Number();
  int Integer() { return static_cast<int>(Number()); }
  base::duration Duration() { return base::duration(Number()); }

 private:
  std::string_view text_;
  bool ok_ = true;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_HEADER_WORDS_H_
