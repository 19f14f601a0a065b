#include "decisions/configuration_store.h"

#include <algorithm>
#include <utility>

namespace fireflyspar::decisions {
namespace {

std::size_t SizeOf(const config::delta& change) {
  constexpr std::size_t kBytesPerEdit = 32;
  std::size_t size = 0;
  for (const config::edit& each : change.edits) {
    size += each.added.size() + kBytesPerEdit;
  }
  return size;
}

std::optional<config::delta> UsefulDelta(const config::snapshot& from,
                                         const config::snapshot& to) {
  config::delta change = config::MakeDelta(from.text, to.text);
  if (SizeOf(change) >= to.text.size()) return std::nullopt;
  return change;
}

}  // namespace

configuration_store::configuration_store(configuration_store_options options)
    : options_(std::move(options)) {}

bool configuration_store::Offer(config::snapshot_ptr candidate) {
  if (candidate == nullptr) return false;
  if (!options_.replaces(candidate->id.version, Version())) return false;
  if (current_ != nullptr) earlier_.push_front(current_);
  if (earlier_.size() > options_.max_earlier) earlier_.pop_back();
  current_ = std::move(candidate);
  deltas_.clear();
  return true;
}

base::result<bool> configuration_store::Apply(
    const configuration_message& message) {
  if (!options_.replaces(message.id.version, Version())) return false;
  std::string text = message.text;
  if (message.change) {
    if (current_ == nullptr) {
      return base::Fail(base::error_kind::kMalformedMessage,
                        "a delta came, but no configuration is held");
    }
    auto rebuilt = config::ApplyDelta(current_->text, *message.change);
    if (!rebuilt) return rebuilt.Failure();
    text = *std::move(rebuilt);
  }
  auto snapshot = options_.make_snapshot(message.id, std::move(text));
  if (!snapshot) return snapshot.Failure();
  return Offer(*snapshot);
}

configuration_message configuration_store::MessageFor(
    const std::string& base_hash) {
  configuration_message message{.id = current_->id};
  const auto base =
      std::ranges::find_if(earlier_, [&](const config::snapshot_ptr& each) {
        return each->id.hash == base_hash;
      });
  if (base_hash == current_->id.hash) {
    // The same content under a new version: an empty delta.
    message.change =
        config::delta{.base_hash = base_hash, .result_hash = base_hash};
  } else if (base != earlier_.end()) {
    auto cached = deltas_.find(base_hash);
    if (cached == deltas_.end()) {
      cached = deltas_.emplace(base_hash, UsefulDelta(**base, *current_)).first;
    }
    message.change = cached->second;
  }
  if (!message.change) message.text = current_->text;
  return message;
}

}  // namespace fireflyspar::decisions
