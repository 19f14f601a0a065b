#include "proxy/server_runs.h"

#include <algorithm>
#include <chrono>

namespace fireflyspar::proxy {

using steady = std::chrono::steady_clock;

server_runs::entry::entry(std::shared_ptr<server_runs> all,
                          std::string_view request_id, base::steady_instant end)
    : all_(std::move(all)),
      run_(all_->under_way_.emplace(std::string(request_id),
                                    run{.end = end, .start = all_->starts_})) {}

void server_runs::entry::End() {
  if (std::exchange(has_ended_, true)) return;
  all_->under_way_.erase(run_);
}

void server_runs::entry::Abandon() {
  if (has_ended_) return;
  const auto& [request_id, abandoned] = *run_;
  if (abandoned.start == all_->starts_) all_->Keep(request_id, abandoned.end);
  End();
}

void server_runs::OnStart(const decisions::server_start& start) {
  if (start == start_) return;
  start_ = start;
  EndAll();
}

void server_runs::OnServerEnd(const decisions::server_start& start) {
  if (start == start_) EndAll();
}

void server_runs::EndAll() {
  ++starts_;
  abandoned_.clear();
  by_end_.clear();
}

bool server_runs::IsUnderWay(std::string_view request_id,
                             base::steady_instant now) const {
  const auto [first, last] = under_way_.equal_range(request_id);
  return std::any_of(first, last, [&](const auto& each) {
    return each.second.start == starts_ && now < each.second.end;
  });
}

bool server_runs::Contains(std::string_view request_id,
                           base::steady_instant now) const {
  if (request_id.empty()) return false;
  if (IsUnderWay(request_id, now)) return true;
  const auto found = abandoned_.find(request_id);
  return found != abandoned_.end() && now < found->second;
}

void server_runs::Keep(const std::string& request_id,
                       base::steady_instant end) {
  if (request_id.size() > kMaxIdBytes) return;
  const auto now = steady::now();
  while (!by_end_.empty() && by_end_.begin()->first <= now) ForgetFirst();
  const auto [known, is_new] = abandoned_.try_emplace(request_id, end);
  if (!is_new) {
    by_end_.erase({known->second, request_id});
    known->second = std::max(known->second, end);
  }
  by_end_.emplace(known->second, request_id);
  if (by_end_.size() > kMaxAbandoned) ForgetFirst();
}

void server_runs::ForgetFirst() {
  const auto first = by_end_.begin();
  abandoned_.erase(first->second);
  by_end_.erase(first);
}

}  // namespace fireflyspar::proxy
