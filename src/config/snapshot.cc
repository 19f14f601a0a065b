#include "config/snapshot.h"

#include "base/hash.h"
#include "config/preset_text.h"

namespace fireflyspar::config {

base::result<snapshot_ptr> MakeSnapshot(version_id id, std::string text) {
  const std::string hash = base::ContentHash(text);
  if (hash != id.hash) {
    return base::Fail(base::error_kind::kMalformedMessage,
                      "the text of version " + std::to_string(id.version) +
                          " has hash " + hash + " in place of " + id.hash);
  }
  auto parsed = ParsePreset(text);
  if (const auto* found = std::get_if<validation_errors>(&parsed)) {
    const validation_error& first = found->front();
    return base::Fail(base::error_kind::kBadPreset,
                      "version " + std::to_string(id.version) + " has " +
                          std::to_string(found->size()) +
                          " faults; the first at '" + first.pointer +
                          "': " + first.value + ", expected " + first.expected);
  }
  return std::make_shared<const snapshot>(
      snapshot{.id = std::move(id),
               .text = std::move(text),
               .content = std::move(std::get<preset>(parsed))});
}

}  // namespace fireflyspar::config
