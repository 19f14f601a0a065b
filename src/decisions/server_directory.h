// What this proxy knows of the backend servers: one entry for each instance,
// published by the gate beside the server. Entries come in the order in which
// the store took them; the latest stands. Addresses are used again: of two
// entries with the same gate, only the one whose server was started last
// counts.
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

// One backend server, as it reports itself to the gate beside it.
struct server_info {
  std::string id;  // Of this start of the server, mostly.
  std::string service;
  std::string version;  // Of the server's software.
  int slots = 0;        // Requests that it runs at once.
  server_condition condition = server_condition::kServing;
  std::int64_t born_ms = 0;  // Unix time of its start.

  bool operator==(const server_info&) const = default;
};

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
  // False when nothing changed.
  bool Put(const server_entry& entry);
  bool Remove(std::string_view instance);

  // Entries of instances that `kept` doesn't name go away.
  void KeepOnly(std::span<const std::string> kept);

  // The serving servers of the service, in the order of their instances.
  std::span<const server_entry* const> Serving(std::string_view service) const;

  // The version that most of the service's serving servers have, apart from
  // `except`; empty when there is none.
  std::string MainVersion(std::string_view service,
                          std::string_view except) const;

  const std::map<std::string, server_entry, std::less<>>& Entries() const {
    return entries_;
  }

 private:
  void Reindex();

  std::map<std::string, server_entry, std::less<>> entries_;
  std::map<std::string, std::vector<const server_entry*>, std::less<>>
      by_service_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SERVER_DIRECTORY_H_
