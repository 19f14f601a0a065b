#include "base/cbor_depth.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace fireflyspar::base {
namespace {

// Number of items left in a container whose length is not given; a break byte
// ends it.
constexpr std::uint64_t kUntilBreak = std::numeric_limits<std::uint64_t>::max();

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
  std::uint64_t argument = 0;
  bool has_no_length = false;  // Or, for kSimple, is the break byte.
};

// Reads the head of the next item and removes it from `bytes`; nothing if the
// bytes end in it or are no head.
std::optional<item_head> TakeHead(std::string_view& bytes) {
  constexpr unsigned kInfoBits = 5;
  constexpr unsigned kInfoMask = 31;
  constexpr unsigned kFirstLongInfo = 24;
  constexpr unsigned kLastLongInfo = 27;
  constexpr unsigned kByteBits = 8;
  if (bytes.empty()) return std::nullopt;
  const auto first = static_cast<unsigned char>(bytes.front());
  bytes.remove_prefix(1);
  item_head head{.major = static_cast<major_type>(first >> kInfoBits)};
  const unsigned info = first & kInfoMask;
  if (info < kFirstLongInfo) {
    head.argument = info;
    return head;
  }
  if (info > kLastLongInfo) {
    head.has_no_length = info == kInfoMask;
    return head.has_no_length ? std::optional(head) : std::nullopt;
  }
  const std::size_t length = std::size_t{1} << (info - kFirstLongInfo);
  if (bytes.size() < length) return std::nullopt;
  for (const char each : bytes.substr(0, length)) {
    head.argument =
        (head.argument << kByteBits) | static_cast<unsigned char>(each);
  }
  bytes.remove_prefix(length);
  return head;
}

// Keeps the open containers of a document while its items are read in order.
class open_containers {
 public:
  std::size_t Depth() const { return items_left_.size(); }

  void Open(std::uint64_t items) { items_left_.push_back(items); }

  // Records a whole item, which may complete containers.
  void EndItem() {
    while (!items_left_.empty() && items_left_.back() != kUntilBreak) {
      if (--items_left_.back() > 0) return;
      items_left_.pop_back();
    }
  }

  // Ends the innermost container, as a break byte does.
  void Break() {
    if (items_left_.empty()) return;
    items_left_.pop_back();
    EndItem();
  }

 private:
  std::vector<std::uint64_t> items_left_;
};

std::uint64_t ItemsOf(const item_head& head) {
  if (head.has_no_length) return kUntilBreak;
  if (head.major != major_type::kMap) return head.argument;
  constexpr std::uint64_t kMaxPairs = kUntilBreak / 2 - 1;
  return 2 * std::min(head.argument, kMaxPairs);
}

}  // namespace

bool ExceedsCborDepth(std::string_view bytes, std::size_t max_depth) {
  open_containers open;
  while (const auto head = TakeHead(bytes)) {
    switch (head->major) {
      case major_type::kArray:
      case major_type::kMap:
        if (open.Depth() >= max_depth) return true;
        open.Open(ItemsOf(*head));
        if (ItemsOf(*head) == 0) open.Break();
        break;
      case major_type::kBytes:
      case major_type::kText:
        if (head->has_no_length) {
          if (open.Depth() >= max_depth) return true;
          open.Open(kUntilBreak);
          break;
        }
        if (head->argument > bytes.size()) return false;
        bytes.remove_prefix(head->argument);
        open.EndItem();
        break;
      case major_type::kTag:
        break;
      case major_type::kSimple:
        if (head->has_no_length) {
          open.Break();
        } else {
          open.EndItem();
        }
        break;
      case major_type::kUnsigned:
      case major_type::kNegative:
        open.EndItem();
        break;
    }
  }
  return false;
}

}  // namespace fireflyspar::base
