#include "proxy/shared_objects.h"

#include <algorithm>

#include "config/cbor_document.h"

namespace fireflyspar::proxy {
namespace {

using base::store_revision;
using nlohmann::json;

constexpr std::string_view kPathPrefix = "/shared/";

constexpr std::array<std::string_view, kSharedKinds.size()> kKindNames = {
    "configuration", "rollouts", "evacuations"};

// Head byte of a CBOR array whose length follows in two bytes.
constexpr char kArrayHead = '\x99';
constexpr std::size_t kMaxObjects = 0xffff;
constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 0xff;

std::size_t IndexOf(shared_kind kind) { return static_cast<std::size_t>(kind); }

json ToJson(const store_revision& revision) {
  return json::array({revision.era, revision.number});
}

std::optional<store_revision> ParseRevision(const json& from) {
  const bool is_pair = from.is_array() && from.size() == 2 &&
                       from[0].is_number_unsigned() &&
                       from[1].is_number_unsigned();
  if (!is_pair) return std::nullopt;
  return store_revision{.number = from[1].get<std::uint64_t>(),
                        .era = from[0].get<std::uint64_t>()};
}

json ToJson(const stored_object& object) {
  return {{"name", object.name},
          {"revision", ToJson(object.revision)},
          {"created", ToJson(object.create_revision)},
          {"content", object.content},
          {"status", object.status}};
}

std::optional<stored_object> ParseObject(json& from) {
  if (!from.is_object()) return std::nullopt;
  const bool has_all = from.contains("name") && from["name"].is_string() &&
                       from.contains("revision") && from.contains("created");
  if (!has_all) return std::nullopt;
  const auto revision = ParseRevision(from["revision"]);
  const auto created = ParseRevision(from["created"]);
  if (!revision || !created) return std::nullopt;
  return stored_object{.name = from["name"].get<std::string>(),
                       .revision = *revision,
                       .create_revision = *created,
                       .content = std::move(from["content"]),
                       .status = std::move(from["status"])};
}

}  // namespace

std::string SharedPath(shared_kind kind) {
  return std::string(kPathPrefix).append(kKindNames[IndexOf(kind)]);
}

std::optional<shared_kind> ParseSharedPath(std::string_view path) {
  if (!path.starts_with(kPathPrefix)) return std::nullopt;
  path.remove_prefix(kPathPrefix.size());
  const auto found = std::ranges::find(kKindNames, path);
  if (found == kKindNames.end()) return std::nullopt;
  return kSharedKinds[static_cast<std::size_t>(found - kKindNames.begin())];
}

bool shared_objects::Put(shared_kind kind, const stored_object& object) {
  objects_by_name& objects = kinds_[IndexOf(kind)];
  const auto known = objects.find(object.name);
  const bool is_later =
      known == objects.end() || known->second.revision < object.revision;
  if (!is_later) return false;
  encoded_object encoded{.revision = object.revision};
  json::to_cbor(ToJson(object), encoded.bytes);
  encoded.bytes.shrink_to_fit();
  objects.insert_or_assign(object.name, std::move(encoded));
  return true;
}

shared_revisions shared_objects::Revisions() const {
  shared_revisions latest;
  std::ranges::transform(kinds_, latest.begin(),
                         [](const objects_by_name& objects) {
                           store_revision greatest;
                           for (const auto& [name, each] : objects) {
                             greatest = std::max(greatest, each.revision);
                           }
                           return greatest;
                         });
  return latest;
}

std::string shared_objects::Encode(shared_kind kind) const {
  const objects_by_name& objects = kinds_[IndexOf(kind)];
  const std::size_t count = std::min(objects.size(), kMaxObjects);
  std::string bytes = {kArrayHead, static_cast<char>(count >> kByteBits),
                       static_cast<char>(count & kByteMask)};
  std::size_t written = 0;
  for (const auto& [name, each] : objects) {
    if (written++ == count) break;
    bytes.append(each.bytes);
  }
  return bytes;
}

base::result<std::vector<stored_object>> DecodeSharedObjects(
    std::string_view bytes) {
  const auto malformed = [](std::string detail) {
    return base::Fail(base::error_kind::kMalformedMessage, std::move(detail));
  };
  json list = config::DecodeCbor(bytes);
  if (!list.is_array()) return malformed("the peer's objects are no list");
  std::vector<stored_object> objects;
  for (json& each : list) {
    auto parsed = ParseObject(each);
    if (!parsed) return malformed("an object of the peer can't be read");
    objects.push_back(*std::move(parsed));
  }
  return objects;
}

}  // namespace fireflyspar::proxy
