#include "config/delta.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <span>

#include "base/hash.h"
#include "config/preset.h"

namespace fireflyspar::config {
namespace {

using lines = std::vector<std::string_view>;

// Splits `text` into lines, each with its line break. A canonical preset text
// has one service or route per line.
lines SplitLines(std::string_view text) {
  lines split;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size() - 1) + 1;
    split.push_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  return split;
}

// The indices of a line that occurs in both texts.
struct anchor {
  std::size_t from = 0;
  std::size_t to = 0;
};

// Returns the lines that occur exactly once in each text, in the order of
// `from`.
std::vector<anchor> UniquePairs(const lines& from, const lines& to) {
  struct line_occurrences {
    int count_in_from = 0;
    int count_in_to = 0;
    std::size_t index_in_to = 0;
  };
  std::map<std::string_view, line_occurrences> seen;
  for (const std::string_view line : from) ++seen[line].count_in_from;
  for (std::size_t i = 0; i < to.size(); ++i) {
    line_occurrences& entry = seen[to[i]];
    ++entry.count_in_to;
    entry.index_in_to = i;
  }
  std::vector<anchor> pairs;
  for (std::size_t i = 0; i < from.size(); ++i) {
    const line_occurrences& entry = seen[from[i]];
    if (entry.count_in_from == 1 && entry.count_in_to == 1) {
      pairs.push_back({.from = i, .to = entry.index_in_to});
    }
  }
  return pairs;
}

// Returns the longest subsequence of `pairs` in which `to` increases as well as
// `from` (by patience sorting): the lines that keep their relative order when
// other lines are moved. The pairs (0,2) (1,0) (2,1) yield the last two.
std::vector<anchor> LongestIncreasingSubsequence(
    std::span<const anchor> pairs) {
  constexpr std::size_t kNone = static_cast<std::size_t>(-1);
  // For each length, the index of the last pair of the best subsequence.
  std::vector<std::size_t> ends;
  std::vector<std::size_t> previous(pairs.size(), kNone);
  for (std::size_t i = 0; i < pairs.size(); ++i) {
    const auto entry = std::ranges::lower_bound(
        ends, pairs[i].to, {}, [&](std::size_t end) { return pairs[end].to; });
    if (entry != ends.begin()) previous[i] = *std::prev(entry);
    if (entry == ends.end()) {
      ends.push_back(i);
    } else {
      *entry = i;
    }
  }
  std::vector<anchor> subsequence;
  for (std::size_t i = ends.empty() ? kNone : ends.back(); i != kNone;
       i = previous[i]) {
    subsequence.push_back(pairs[i]);
  }
  std::ranges::reverse(subsequence);
  return subsequence;
}

// Collects edits from pairs of corresponding pieces of the two texts.
class edit_list {
 public:
  // Adds the edit that replaces `from`, at `offset` of the base, by `to`.
  // Leaves out their common prefix and suffix, and adds no edit if they are
  // equal.
  void Add(std::size_t offset, std::string_view from, std::string_view to) {
    const auto [from_at, to_at] = std::ranges::mismatch(from, to);
    const auto common_prefix = static_cast<std::size_t>(from_at - from.begin());
    from.remove_prefix(common_prefix);
    to.remove_prefix(common_prefix);
    std::size_t common_suffix = 0;
    while (common_suffix < std::min(from.size(), to.size()) &&
           from[from.size() - common_suffix - 1] ==
               to[to.size() - common_suffix - 1]) {
      ++common_suffix;
    }
    from.remove_suffix(common_suffix);
    to.remove_suffix(common_suffix);
    if (from.empty() && to.empty()) return;
    edits_.push_back(
        {.offset = static_cast<std::uint32_t>(offset + common_prefix),
         .removed = static_cast<std::uint32_t>(from.size()),
         .added = std::string(to)});
  }

  std::vector<edit> Take() { return std::move(edits_); }

 private:
  std::vector<edit> edits_;
};

// Returns the contiguous text that the consecutive lines `pieces` cover.
std::string_view Join(std::span<const std::string_view> pieces) {
  if (pieces.empty()) return {};
  const char* begin = pieces.front().data();
  const char* end = pieces.back().data() + pieces.back().size();
  return {begin, static_cast<std::size_t>(end - begin)};
}

// Adds the edits between two anchors. If both sides have the same number of
// lines, they are compared line by line, since they are most likely the same
// entries with small changes.
void AddGap(std::size_t offset, std::span<const std::string_view> from,
            std::span<const std::string_view> to, edit_list& out) {
  if (from.size() != to.size()) {
    out.Add(offset, Join(from), Join(to));
    return;
  }
  for (std::size_t i = 0; i < from.size(); ++i) {
    out.Add(offset, from[i], to[i]);
    offset += from[i].size();
  }
}

}  // namespace

delta MakeDelta(std::string_view from, std::string_view to) {
  const lines old_lines = SplitLines(from);
  const lines new_lines = SplitLines(to);
  std::vector<anchor> anchors =
      LongestIncreasingSubsequence(UniquePairs(old_lines, new_lines));
  anchors.push_back({.from = old_lines.size(), .to = new_lines.size()});

  edit_list edits;
  std::size_t offset = 0;
  anchor start;
  for (const anchor& stop : anchors) {
    const auto old_gap =
        std::span(old_lines).subspan(start.from, stop.from - start.from);
    const auto new_gap =
        std::span(new_lines).subspan(start.to, stop.to - start.to);
    AddGap(offset, old_gap, new_gap, edits);
    offset += Join(old_gap).size();
    if (stop.from < old_lines.size()) offset += old_lines[stop.from].size();
    start = {.from = stop.from + 1, .to = stop.to + 1};
  }
  return {.base_hash = base::ContentHash(from),
          .result_hash = base::ContentHash(to),
          .edits = edits.Take()};
}

base::result<std::string> ApplyDelta(std::string_view from,
                                     const delta& change) {
  const auto malformed = [](std::string detail) {
    return base::Fail(base::error_kind::kMalformedMessage, std::move(detail));
  };
  if (base::ContentHash(from) != change.base_hash) {
    return malformed("the delta starts from " + change.base_hash +
                     ", which is not what is here");
  }
  std::string output;
  std::size_t processed = 0;  // Bytes of `from` copied or removed so far.
  for (const edit& each : change.edits) {
    const std::size_t offset = each.offset;
    const bool in_bounds = offset >= processed && offset <= from.size() &&
                           each.removed <= from.size() - offset;
    if (!in_bounds) {
      return malformed("an edit at " + std::to_string(offset) + " of " +
                       std::to_string(each.removed) + " bytes is out of place");
    }
    output += from.substr(processed, offset - processed);
    output += each.added;
    processed = offset + each.removed;
    if (output.size() > kMaxPresetBytes) {
      return malformed("the delta makes more than " +
                       std::to_string(kMaxPresetBytes) + " bytes");
    }
  }
  output += from.substr(processed);
  if (base::ContentHash(output) != change.result_hash) {
    return malformed("the delta does not make " + change.result_hash);
  }
  return output;
}

}  // namespace fireflyspar::config
