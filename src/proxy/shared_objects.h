// The stored objects that proxies pass on to each other: the configuration, the
// rollout orders and the set of evacuated data centres. Each answer of a gate
// names the latest revision that its process holds of each kind. A proxy that
// holds less asks that process for the objects of the kind. Objects merge by
// revision, so that late, repeated and crossed messages are harmless.
#ifndef FIREFLYSPAR_PROXY_SHARED_OBJECTS_H_
#define FIREFLYSPAR_PROXY_SHARED_OBJECTS_H_

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "proxy/object_store.h"

namespace fireflyspar::proxy {

enum class shared_kind { kConfiguration, kRollouts, kEvacuations };

inline constexpr std::array kSharedKinds = {shared_kind::kConfiguration,
                                            shared_kind::kRollouts,
                                            shared_kind::kEvacuations};

// The latest revision that a process holds of each kind, in the order of
// kSharedKinds.
using shared_revisions = std::array<base::store_revision, kSharedKinds.size()>;

// Path of the requests between proxies for the objects of a kind.
std::string SharedPath(shared_kind kind);

// Returns the kind that a request asks for; nothing for any other path.
std::optional<shared_kind> ParseSharedPath(std::string_view path);

class shared_objects {
 public:
  // Keeps the object if it is later than the one of the same name. Returns
  // whether it is.
  bool Put(shared_kind kind, const stored_object& object);

  shared_revisions Revisions() const;

  // Returns all objects of the kind as a CBOR document.
  std::string Encode(shared_kind kind) const;

 private:
  // Documents are long, so they are held in their encoded form.
  struct encoded_object {
    base::store_revision revision;
    std::string bytes;
  };
  using objects_by_name = std::map<std::string, encoded_object>;

  std::array<objects_by_name, kSharedKinds.size()> kinds_;
};

// Decodes what shared_objects::Encode returned. Fails for bytes of a peer that
// can't be read.
base::result<std::vector<stored_object>> DecodeSharedObjects(
    std::string_view bytes);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SHARED_OBJECTS_H_
