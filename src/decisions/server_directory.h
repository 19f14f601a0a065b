// Holds the backend servers known to this proxy: one entry for each instance,
// published by the gate on that instance. Entries arrive in the order in which
// the store accepted them; a later entry of an instance replaces the earlier
// one. Addresses are reused: of two entries with the same gate address, only
// the one whose server started last counts.
#ifndef FIREFLYSPAR_DECISIONS_SERVER_DIRECTORY_H_
#define FIREFLYSPAR_DECISIONS_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"

namespace fireflyspar::decisions {

enum class server_condition { kServing, kDraining };

// A backend server, as it registers with the gate on its instance.
struct server_info {
  std::string id;  // Usually differs between starts of the server.
  std::string service;
  std::string version;  // Version of the server's software.
  int slots = 0;        // Maximum number of requests run at once.
  server_condition condition = server_condition::kServing;
  std::int64_t start_ms = 0;  // Unix time of its start in milliseconds.

  bool operator==(const server_info&) const = default;
};

// Returns whether both are the same start of the same server. What is known of
// one start does not apply to another, even under the same id.
inline bool IsSameStart(const server_info& left, const server_info& right) {
  return left.id == right.id && left.start_ms == right.start_ms;
}

// A backend server and how to reach the gate in front of it.
struct server_entry {
  std::string instance;
  std::string data_centre;
  base::address gate;
  server_info server;

  bool operator==(const server_entry&) const = default;
};

class server_directory {
 public:
  // Adds or replaces the entry of an instance. Returns false if nothing
  // changed.
  bool Put(const server_entry& entry);

  // Removes the entry of an instance. Returns false if there was none.
  bool Remove(std::string_view instance);

  // Removes the entries of all instances that are not in `kept`.
  void KeepOnly(std::span<const std::string> kept);

  // Returns the entries of the service whose servers take requests, ordered by
  // instance.
  std::span<const server_entry* const> Serving(std::string_view service) const;

  // Returns the versions that the service's serving servers run, by the start
  // of the server of each that has run longest: a new version is started beside
  // the old one. Of versions with the same start the one that more servers run
  // comes first.
  std::span<const std::string> Versions(std::string_view service) const;

  const std::map<std::string, server_entry, std::less<>>& Entries() const {
    return entries_;
  }

 private:
  static std::vector<std::string> OrderVersions(
      std::span<const server_entry* const> serving);
  void Reindex();

  // The serving servers of one service.
  struct service_index {
    std::vector<const server_entry*> entries;
    std::vector<std::string> versions;  // As Versions() returns them.
  };

  std::map<std::string, server_entry, std::less<>> entries_;
  std::map<std::string, service_index, std::less<>> by_service_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SERVER_DIRECTORY_H_
