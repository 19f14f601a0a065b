#include "base/readable_cbor.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

#include "base/utf8.h"

namespace fireflyspar::base {
namespace {

// Number of items left in a container whose length is not given; a break byte
// ends it.
constexpr std::uint64_t kUntilBreak = std::numeric_limits<std::uint64_t>::max();

constexpr char kNull = '\xf6';

// Simple values (RFC 8949, section 3.3).
constexpr unsigned kFalse = 20;
constexpr unsigned kNullValue = 22;
constexpr unsigned kFirstFloat = 25;

// The low bits of a head, which hold its argument or the length of that.
constexpr unsigned kInfoBits = 5;
constexpr unsigned kInfoMask = 31;
constexpr unsigned kFirstLongInfo = 24;
constexpr unsigned kLastLongInfo = 27;
constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 255;

// Major types of RFC 8949, section 3.1.
enum class major_type : std::uint8_t {
  kUnsigned,
  kNegative,
  kBytes,
  kText,
  kArray,
  kMap,
  kTag,
  kSimple,
};

struct item_head {
  major_type major = major_type::kUnsigned;
  unsigned info = 0;
  std::uint64_t argument = 0;
  bool has_no_length = false;  // Or, for kSimple, is the break byte.
  std::string_view bytes;

  bool IsBreak() const { return major == major_type::kSimple && has_no_length; }
  bool IsString() const {
    return major == major_type::kBytes || major == major_type::kText;
  }
  bool IsContainer() const {
    return major == major_type::kArray || major == major_type::kMap;
  }
};

// Reads the head of the next item and removes it from `bytes`; nothing if the
// bytes end in it or are no head.
std::optional<item_head> TakeHead(std::string_view& bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::string_view begin = bytes;
  const auto first = static_cast<unsigned char>(bytes.front());
  bytes.remove_prefix(1);
  item_head head{.major = static_cast<major_type>(first >> kInfoBits),
                 .info = first & kInfoMask};
  if (head.info < kFirstLongInfo) {
    head.argument = head.info;
  } else if (head.info > kLastLongInfo) {
    const bool may_lack_length = head.IsString() || head.IsContainer() ||
                                 head.major == major_type::kSimple;
    head.has_no_length = head.info == kInfoMask && may_lack_length;
    if (!head.has_no_length) return std::nullopt;
  } else {
    const std::size_t length = std::size_t{1} << (head.info - kFirstLongInfo);
    if (bytes.size() < length) return std::nullopt;
    for (const char each : bytes.substr(0, length)) {
      head.argument =
          (head.argument << kByteBits) | static_cast<unsigned char>(each);
    }
    bytes.remove_prefix(length);
  }
  head.bytes = begin.substr(0, begin.size() - bytes.size());
  return head;
}

// Returns the number of items in a container.
std::uint64_t ItemsOf(const item_head& head) {
  if (head.has_no_length) return kUntilBreak;
  if (head.major != major_type::kMap) return head.argument;
  constexpr std::uint64_t kMaxPairs = kUntilBreak / 2 - 1;
  return 2 * std::min(head.argument, kMaxPairs);
}

// Returns whether the decoder takes a value without content of its own.
bool IsReadableScalar(const item_head& head) {
  if (head.major == major_type::kUnsigned) return true;
  if (head.major == major_type::kNegative) {
    return head.argument <=
           static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  }
  const bool is_float = head.info >= kFirstFloat && head.info <= kLastLongInfo;
  return is_float || (head.info >= kFalse && head.info <= kNullValue);
}

// Reads a document item by item. It is copied from the first replacement on:
// most documents need none. Values that are replaced are still read, to find
// their end.
class copier {
 public:
  copier(std::string_view bytes, std::size_t max_depth)
      : whole_(bytes), bytes_(bytes), max_depth_(max_depth) {}

  // Returns false if the bytes are not exactly one item.
  bool Copy() {
    while (!is_done_) {
      item_begin_ = whole_.size() - bytes_.size();
      const auto head = TakeHead(bytes_);
      if (!head || !Take(*head)) return false;
    }
    return bytes_.empty();
  }

  readable_cbor Result() && {
    return {.replaced = std::move(written_), .replacements = replacements_};
  }

 private:
  // A container, or a string without a length, whose end is yet to come.
  struct open_value {
    major_type major = major_type::kArray;
    std::uint64_t items_left = 0;
    std::size_t begin = 0;  // Its place in the copy.
    bool is_at_key = false;
  };

  bool Take(const item_head& head) {
    const bool is_replacing = !replaced_.empty();
    if (is_replacing) return Skip(head);
    if (head.IsBreak()) return TakeBreak(head);
    if (IsInString()) return TakeChunk(head);
    if (IsAtKey() && head.major != major_type::kText) {
      ReplaceInnermost();
      return Skip(head);
    }
    if (head.IsString()) return TakeString(head);
    if (head.IsContainer()) return OpenContainer(head);
    if (head.major == major_type::kTag || !IsReadableScalar(head)) {
      ReplaceNext();
      return Skip(head);
    }
    Write(head.bytes);
    EndItem();
    return true;
  }

  bool IsInString() const {
    return !open_.empty() && (open_.back().major == major_type::kBytes ||
                              open_.back().major == major_type::kText);
  }

  bool IsAtKey() const { return !open_.empty() && open_.back().is_at_key; }

  bool TakeString(const item_head& head) {
    const std::size_t begin = Place();
    if (head.has_no_length) {
      open_.push_back(
          {.major = head.major, .items_left = kUntilBreak, .begin = begin});
      chunks_.clear();
      Write(head.bytes);
      return true;
    }
    const auto content = TakeContent(head);
    if (!content) return false;
    Write(head.bytes);
    Write(*content);
    EndString(head.major, *content, begin);
    return true;
  }

  std::optional<std::string_view> TakeContent(const item_head& head) {
    if (head.argument > bytes_.size()) return std::nullopt;
    const std::string_view content = bytes_.substr(0, head.argument);
    bytes_.remove_prefix(head.argument);
    return content;
  }

  // A string without a length is the sum of its chunks, which are strings of
  // its type with a length.
  bool TakeChunk(const item_head& head) {
    const bool is_chunk =
        head.major == open_.back().major && !head.has_no_length;
    const auto content = is_chunk ? TakeContent(head) : std::nullopt;
    if (!content) return false;
    Write(head.bytes);
    Write(*content);
    chunks_.append(*content);
    return true;
  }

  // Ends a string that was written, and replaces it if it can't be read.
  void EndString(major_type major, std::string_view content,
                 std::size_t begin) {
    const bool is_readable = major == major_type::kBytes || IsUtf8(content);
    const bool is_bad_key =
        IsAtKey() && (!is_readable || major == major_type::kBytes);
    if (is_bad_key) {
      ReplaceInnermost();
      EndSkippedItem();
      return;
    }
    if (!is_readable) WriteNullAt(begin);
    EndItem();
  }

  bool OpenContainer(const item_head& head) {
    if (open_.size() >= max_depth_) {
      ReplaceNext();
      return Skip(head);
    }
    open_.push_back({.major = head.major,
                     .items_left = ItemsOf(head),
                     .begin = Place(),
                     .is_at_key = head.major == major_type::kMap});
    Write(head.bytes);
    if (open_.back().items_left > 0) return true;
    open_.pop_back();
    EndItem();
    return true;
  }

  bool TakeBreak(const item_head& head) {
    if (open_.empty()) return false;
    const open_value ended = open_.back();
    const bool is_half_pair =
        ended.major == major_type::kMap && !ended.is_at_key;
    if (ended.items_left != kUntilBreak || is_half_pair) return false;
    const bool is_string = IsInString();
    open_.pop_back();
    Write(head.bytes);
    if (is_string) {
      EndString(ended.major, chunks_, ended.begin);
    } else {
      EndItem();
    }
    return true;
  }

  // Records a whole item, which may complete containers.
  void EndItem() {
    while (!open_.empty()) {
      open_value& in = open_.back();
      if (in.major == major_type::kMap) in.is_at_key = !in.is_at_key;
      if (in.items_left == kUntilBreak) return;
      --in.items_left;
      if (in.items_left > 0) return;
      open_.pop_back();
    }
    is_done_ = true;
  }

  // Returns the place in the copy of the item that begins now. Up to the first
  // replacement, the copy is as long as what was read.
  std::size_t Place() const {
    return replacements_ == 0 ? item_begin_ : written_.size();
  }

  void Write(std::string_view bytes) {
    if (replacements_ > 0) written_.append(bytes);
  }

  void WriteNullAt(std::size_t place) {
    if (replacements_++ == 0) {
      written_ = whole_.substr(0, place);
    } else {
      written_.resize(place);
    }
    written_.push_back(kNull);
  }

  // Replaces the item that begins now. Skip must be called with its head.
  void ReplaceNext() {
    WriteNullAt(Place());
    replaced_.push_back(1);
  }

  // Replaces the innermost open container. The item that begins now still
  // counts as one of those that are left in it.
  void ReplaceInnermost() {
    const open_value ended = open_.back();
    open_.pop_back();
    WriteNullAt(ended.begin);
    replaced_.push_back(1);
    replaced_.push_back(ended.items_left);
  }

  // Reads an item of a value that is being replaced.
  bool Skip(const item_head& head) {
    if (head.IsBreak()) {
      if (replaced_.back() != kUntilBreak) return false;
      replaced_.pop_back();
      EndSkippedItem();
      return true;
    }
    if (head.major == major_type::kTag) return true;  // Its content follows.
    if (head.IsContainer() || head.has_no_length) {
      const std::uint64_t items =
          head.has_no_length ? kUntilBreak : ItemsOf(head);
      if (items > 0) {
        replaced_.push_back(items);
        return true;
      }
    } else if (head.IsString() && !TakeContent(head)) {
      return false;
    }
    EndSkippedItem();
    return true;
  }

  void EndSkippedItem() {
    while (!replaced_.empty()) {
      std::uint64_t& items_left = replaced_.back();
      if (items_left == kUntilBreak) return;
      --items_left;
      if (items_left > 0) return;
      replaced_.pop_back();
    }
    EndItem();
  }

  std::string_view whole_;
  std::string_view bytes_;  // What is left of it.
  std::size_t max_depth_;
  std::size_t item_begin_ = 0;
  bool is_done_ = false;
  std::string written_;
  std::size_t replacements_ = 0;
  std::vector<open_value> open_;
  std::string chunks_;  // Of the string that is open.
  // Numbers of items left in the open containers of the value that is being
  // replaced, which itself counts as the only item of the first.
  std::vector<std::uint64_t> replaced_;
};

}  // namespace

std::optional<readable_cbor> MakeReadable(std::string_view bytes,
                                          std::size_t max_depth) {
  copier copy(bytes, max_depth);
  if (!copy.Copy()) return std::nullopt;
  return std::move(copy).Result();
}

}  // namespace fireflyspar::base
