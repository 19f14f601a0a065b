#include "proxy/notice_book.h"

namespace fireflyspar::proxy {
namespace {

bool AppliesTo(const told_notices& told, const decisions::server_info& server) {
  return told.server_id == server.id && told.start_ms == server.start_ms;
}

}  // namespace

void notice_book::Put(std::string_view instance,
                      const std::optional<told_notices>& told) {
  const auto found = told_.find(instance);
  if (found == told_.end()) {
    if (told) told_.emplace(std::string(instance), *told);
    return;
  }
  told_notices& known = found->second;
  const bool is_same_start = !told || (told->server_id == known.server_id &&
                                       told->start_ms == known.start_ms);
  const bool stays_leaving = is_same_start && known.said.is_leaving;
  if (told) {
    known = *told;
  } else {
    known.said.requests_per_second.reset();
  }
  known.said.is_leaving = known.said.is_leaving || stays_leaving;
  if (known.said == decisions::server_notices{}) told_.erase(found);
}

std::optional<told_notices> notice_book::Find(
    const decisions::server_entry& entry) const {
  const auto found = told_.find(entry.instance);
  const bool applies =
      found != told_.end() && AppliesTo(found->second, entry.server);
  if (!applies) return std::nullopt;
  return found->second;
}

bool notice_book::IsLeaving(const decisions::server_entry& entry) const {
  const auto found = told_.find(entry.instance);
  return found != told_.end() && found->second.said.is_leaving &&
         AppliesTo(found->second, entry.server);
}

void notice_book::KeepOnly(const decisions::server_directory& directory) {
  const auto& entries = directory.Entries();
  std::erase_if(told_, [&entries](const auto& each) {
    return !entries.contains(each.first);
  });
}

}  // namespace fireflyspar::proxy
