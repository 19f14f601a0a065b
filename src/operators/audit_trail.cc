#include "operators/audit_trail.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <iterator>

#include "operators/platform_calls.h"
#include "platform/object_formats.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using base::Fail;

constexpr std::string_view kHeadKey = "audit/head";

// Maximum attempts to change a segment. One of the racing writers succeeds each
// time, so this many lost races in a row mean that something else is wrong.
constexpr int kMaxAttempts = 30;

// Number of segments, from the last, that are searched for pending entries.
constexpr std::uint64_t kRecentSegments = 2;

// Maximum reads in one pass for resolving pending entries of other operations.
constexpr int kMaxResolvedPerPass = 20;

std::string SegmentKey(std::uint64_t number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%010llu",
                static_cast<unsigned long long>(number));
  return std::string(platform::kAuditPrefix) + text.data();
}

struct segment {
  std::uint64_t number = 0;
  platform::object stored;
  std::vector<audit_entry> entries;
  bool is_readable = true;
};

bool Contains(const std::vector<audit_entry>& entries,
              std::string_view operation_id) {
  return std::ranges::find(entries, operation_id, &audit_entry::operation_id) !=
         entries.end();
}

// Reads a segment. One that can't be parsed is left unchanged and counts as
// full, so that a damaged segment doesn't keep operators from making changes.
base::result<segment> ReadSegment(const context& ctx, std::uint64_t number) {
  auto stored = GetOrNone(ctx, SegmentKey(number));
  if (!stored) return stored.Failure();
  segment read{.number = number, .stored = *std::move(stored)};
  if (read.stored.version == 0) return read;
  auto entries = ParseEntries(read.stored.value);
  read.is_readable = entries.Ok();
  if (entries) read.entries = *std::move(entries);
  return read;
}

bool IsFull(const context& ctx, const segment& value) {
  return !value.is_readable ||
         value.stored.value.size() >= ctx.audit.segment_bytes;
}

base::result<platform::object> ReadHead(const context& ctx,
                                        std::uint64_t& number) {
  auto head = GetOrNone(ctx, kHeadKey);
  if (!head) return head;
  const std::string& text = head->value;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return head;
}

// Returns the last segment that exists, or an empty first segment if there is
// none. Only a full segment can be followed by one that the head doesn't name
// yet, so the search stops at a segment that is not full.
base::result<segment> LastSegment(const context& ctx) {
  std::uint64_t number = 0;
  const auto head = ReadHead(ctx, number);
  if (!head) return head.Failure();
  while (true) {
    auto last = ReadSegment(ctx, number);
    if (!last || !IsFull(ctx, *last)) return last;
    const auto next = GetOrNone(ctx, SegmentKey(number + 1));
    if (!next) return next.Failure();
    if (next->version == 0) return last;
    ++number;
  }
}

// Updates the head to the new segment and removes segments that are too old. If
// either fails, it is done when a later segment is created.
void AdvanceHeadAndPrune(const context& ctx, std::uint64_t number) {
  std::uint64_t named = 0;
  const auto head = ReadHead(ctx, named);
  if (head && (named < number || head->version == 0)) {
    (void)ctx.platform.put(kHeadKey, std::to_string(number), head->version);
  }
  constexpr std::uint64_t kMaxPrunedSegments = 3;
  for (std::uint64_t i = 0; i < kMaxPrunedSegments; ++i) {
    if (number < ctx.audit.segments + i) return;
    const auto old = Get(ctx, SegmentKey(number - ctx.audit.segments - i));
    if (old) (void)ctx.platform.remove(old->key, old->version);
  }
}

base::result<write_result> WriteSegment(const context& ctx,
                                        const segment& changed,
                                        std::string_view operation_id) {
  return WriteConditionally(
      ctx, {.key = SegmentKey(changed.number),
            .value = ToText(changed.entries),
            .if_version = changed.stored.version,
            .is_ours = [&](const platform::object& now) {
              const auto entries = ParseEntries(now.value);
              return entries && Contains(*entries, operation_id);
            }});
}

// Resolves pending entries from the present state of their objects; returns
// whether any was resolved.
bool ResolvePending(const context& ctx, std::span<const audit_entry> all,
                    std::vector<audit_entry>& entries) {
  bool changed = false;
  int reads = 0;
  for (audit_entry& each : entries) {
    if (each.outcome != audit_outcome::kPending) continue;
    if (++reads > kMaxResolvedPerPass) break;
    const auto now = GetOrNone(ctx, each.key);
    if (!now) break;
    const auto outcome = InferOutcome(each, *now, all);
    if (!outcome) continue;
    each.outcome = *outcome;
    if (outcome == audit_outcome::kRefused) {
      each.detail = "another change came first";
    }
    changed = true;
  }
  return changed;
}

// Returns the last `count` segments, oldest first.
base::result<std::vector<segment>> LastSegments(const context& ctx,
                                                std::uint64_t count) {
  auto last = LastSegment(ctx);
  if (!last) return last.Failure();
  std::uint64_t number = last->number;
  std::vector<segment> segments = {*std::move(last)};
  while (number > 0 && segments.size() < count) {
    auto before = ReadSegment(ctx, --number);
    if (!before) return before.Failure();
    segments.push_back(*std::move(before));
  }
  std::ranges::reverse(segments);
  return segments;
}

std::vector<audit_entry> EntriesOf(const std::vector<segment>& segments) {
  std::vector<audit_entry> entries;
  for (const segment& each : segments) {
    std::ranges::copy(each.entries, std::back_inserter(entries));
  }
  return entries;
}

// Applies `change` to the recent entries, resolves those that are still pending
// and stores the changed segments. If another writer changed a segment in the
// meantime, reads the segments again and repeats.
base::status ResolveRecentEntries(
    const context& ctx, const std::function<bool(audit_entry&)>& change) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto segments = LastSegments(ctx, kRecentSegments);
    if (!segments) return segments.Failure();
    const std::vector<audit_entry> all = EntriesOf(*segments);
    bool all_stored = true;
    for (segment& each : *segments) {
      bool changed = false;
      for (audit_entry& entry : each.entries) {
        if (change(entry)) changed = true;
      }
      if (ResolvePending(ctx, all, each.entries)) changed = true;
      if (!changed) continue;
      const auto written = ctx.platform.put(
          each.stored.key, ToText(each.entries), each.stored.version);
      if (written) continue;
      if (written.Failure().Kind() != error_kind::kConflict &&
          written.Failure().Kind() != error_kind::kResponseLost) {
        return written.Failure();
      }
      all_stored = false;
    }
    if (all_stored) return base::success{};
  }
  return Fail(
      error_kind::kConflict,
      "the audit trail changed during every attempt to write it; try again");
}

}  // namespace

base::result<append_result> AppendEntry(const context& ctx,
                                        const audit_entry& entry) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto last = LastSegment(ctx);
    if (!last) return last.Failure();
    if (IsFull(ctx, *last)) last = segment{.number = last->number + 1};
    last->entries.push_back(entry);
    const auto written = WriteSegment(ctx, *last, entry.operation_id);
    if (!written) return written.Failure();
    if (!written->took_effect) continue;
    const bool created_segment = last->stored.version == 0;
    if (created_segment) AdvanceHeadAndPrune(ctx, last->number);
    return append_result{.segment = last->number,
                         .created_segment = created_segment};
  }
  return Fail(
      error_kind::kConflict,
      "the audit trail changed during every attempt to write it; try again");
}

base::status RecordOutcome(const context& ctx, std::string_view operation_id,
                           audit_outcome outcome, std::string_view detail) {
  return ResolveRecentEntries(ctx, [&](audit_entry& entry) {
    if (entry.operation_id != operation_id ||
        entry.outcome != audit_outcome::kPending) {
      return false;
    }
    entry.outcome = outcome;
    entry.detail = detail;
    return true;
  });
}

base::result<std::vector<audit_entry>> EntriesOfSegment(const context& ctx,
                                                        std::uint64_t number) {
  auto read = ReadSegment(ctx, number);
  if (!read) return read.Failure();
  if (!read->is_readable) {
    return Fail(error_kind::kMalformedMessage,
                "audit segment " + std::to_string(number) + " can't be read");
  }
  return std::move(read->entries);
}

base::result<std::vector<audit_entry>> RecentEntries(const context& ctx) {
  const auto segments = LastSegments(ctx, kRecentSegments);
  if (!segments) return segments.Failure();
  return EntriesOf(*segments);
}

base::result<std::vector<audit_entry>> ReadTrail(const context& ctx,
                                                 std::size_t limit) {
  // A failure to resolve pending entries must not fail the read.
  (void)ResolveRecentEntries(ctx, [](audit_entry&) { return false; });
  auto last = LastSegment(ctx);
  if (!last) return last.Failure();
  std::uint64_t number = last->number;
  std::vector<audit_entry> entries = std::move(last->entries);
  while (entries.size() < limit && number > 0) {
    const auto before = ReadSegment(ctx, --number);
    if (!before) return before.Failure();
    if (before->stored.version == 0) break;  // Removed earlier.
    entries.insert(entries.begin(), before->entries.begin(),
                   before->entries.end());
  }
  if (entries.size() > limit) {
    entries.erase(entries.begin(),
                  entries.end() - static_cast<std::ptrdiff_t>(limit));
  }
  return entries;
}

}  // namespace fireflyspar::operators
