// Which instances own the parts of an organisation's limit: one in each data
// centre, by rendezvous hash over the instances that the store lists.
//
// An instance that joins ranks first for some organisations at once, but its
// peers hear of it at different times, and whoever owned these parts goes on
// until it hears. The new one therefore grants nothing until all have heard.
#ifndef FIREFLYSPAR_DECISIONS_QUOTA_OWNER_H_
#define FIREFLYSPAR_DECISIONS_QUOTA_OWNER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/hooks.h"
#include "decisions/server_directory.h"

namespace fireflyspar::decisions {

class quota_owner {
 public:
  // Of this process: its instance and data centre. `is_first_start`: whether
  // the whole system starts for the first time, so that nobody owns anything
  // yet.
  quota_owner(std::string instance, std::string data_centre,
              bool is_first_start)
      : instance_(std::move(instance)),
        data_centre_(std::move(data_centre)),
        is_first_start_(is_first_start) {}

  // Must be called when the directory has changed, for the first time with the
  // first list that the store returned.
  void OnDirectory(const server_directory& directory, base::steady_instant now);

  // Must be called when this instance leaves: it grants nothing from then on.
  void OnLeave() { has_left_ = true; }

  // Returns the owners of the organisation's parts, that of this data centre
  // first if it has any instance.
  // Valid until the directory changes.
  const std::vector<std::string>& OwnersOf(std::string_view organisation);

  // Returns since when this instance may grant tokens of the organisation;
  // nothing if it does not own a part of its limit now.
  std::optional<base::steady_instant> OwnedSince(std::string_view organisation,
                                                 base::steady_instant now);

 private:
  std::vector<std::string> RankOwners(std::string_view organisation) const;

  std::string instance_;
  std::string data_centre_;
  bool is_first_start_;
  // The instances of each data centre.
  std::map<std::string, std::vector<std::string>, std::less<>> instances_;
  // The owners that were asked for, by organisation.
  std::map<std::string, std::vector<std::string>, std::less<>> owners_;
  bool is_listed_ = false;
  bool has_first_list_ = false;
  bool has_left_ = false;
  base::steady_instant may_own_from_;
  base::steady_instant changed_at_;  // When the instances last changed.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_QUOTA_OWNER_H_
