#include "decisions/configuration_store.h"

#include <algorithm>
#include <utility>

namespace fireflyspar::decisions {
namespace {

std::optional<config::delta> UsefulDelta(const config::snapshot&,
                                         const config::snapshot&) {
  return std::nullopt;
}

}  // namespace

configuration_store::configuration_store(configuration_store_options options)
    : options_(std::move(options)) {}

bool configuration_store::Offer(config::snapshot_ptr candidate) {
  if (candidate == nullptr) return false;
  if (!options_.replaces(candidate->id.version, Version())) return false;
  if (held_ != nullptr) earlier_.push_front(held_);
  if (earlier_.size() > options_.remembered) earlier_.pop_back();
  held_ = std::move(candidate);
  deltas_.clear();
  return true;
}

base::result<bool> configuration_store::Take(
    const configuration_message& message) {
  if (!options_.replaces(message.id.version, Version())) return false;
  std::string text = message.text;
  if (message.change) {
    if (held_ == nullptr) {
      return base::Fail(base::error_kind::kMalformedMessage,
                        "a delta came, but no configuration is held");
    }
    if (message.change->base_hash != held_->id.hash ||
        !message.change->edits.empty()) {
      return base::Fail(base::error_kind::kMalformedMessage,
                        "the delta starts from " + message.change->base_hash);
    }
    text = held_->text;
  }
  auto snapshot = options_.make_snapshot(message.id, std::move(text));
  if (!snapshot) return snapshot.Failure();
  return Offer(*snapshot);
}

configuration_message configuration_store::MessageFor(
    const std::string& base_hash) {
  configuration_message message{.id = held_->id};
  const auto base =
      std::ranges::find_if(earlier_, [&](const config::snapshot_ptr& each) {
        return each->id.hash == base_hash;
      });
  if (base_hash == held_->id.hash) {
    // The same content under a new version: an empty delta.
    message.change =
        config::delta{.base_hash = base_hash, .result_hash = base_hash};
  } else if (base != earlier_.end()) {
    auto cached = deltas_.find(base_hash);
    if (cached == deltas_.end()) {
      cached = deltas_.emplace(base_hash, UsefulDelta(**base, *held_)).first;
    }
    message.change = cached->second;
  }
  if (!message.change) message.text = held_->text;
  return message;
}

}  // namespace fireflyspar::decisions
