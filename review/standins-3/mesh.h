// A small deployment on loopback: machines with their settings, the proxy
// processes on them, and the configuration that the operator writes.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_3_MESH_H_
#define FIREFLYSPAR_REVIEW_STANDINS_3_MESH_H_

#include <sys/types.h>

#include <vector>

#include "http.h"
#include "record.h"

namespace review {

// One loopback address for each machine, and one for the store.
struct machine {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
  address outbound;
  address inbound;
  address ready;
  address control;
  address app;
  address store;
};

class mesh {
 public:
  // `folder` is for settings and logs; `zones` holds the zone of each machine.
  mesh(std::string folder, const std::vector<std::string>& zones, record& log);
  ~mesh();
  mesh(const mesh&) = delete;
  mesh& operator=(const mesh&) = delete;

  const address& Store() const { return store_; }
  // Another address, for a store that has two.
  const address& SecondStore() const { return second_store_; }
  std::vector<machine>& Machines() { return machines_; }

  // Starts the proxy of the machine with the command of the deploy file.
  void StartProxy(std::size_t index);
  void KillProxy(std::size_t index);

  // Sends SIGTERM; the other waits for the end, and sends SIGKILL after
  // `grace`.
  void TerminateProxy(std::size_t index);
  void AwaitEnd(std::size_t index);

  // Returns whether all that were started answer GET /ready with 200 within the
  // time.
  bool AwaitReady(milliseconds timeout);

 private:
  void WriteSettings(const machine& of) const;

  std::string folder_;
  std::set<std::string> zones_;
  record& log_;
  address store_;
  address second_store_;
  std::vector<machine> machines_;
  std::vector<pid_t> proxies_;
};

struct route {
  std::string name;
  std::string path_prefix;
  std::string service;
  bool is_safe = false;
};

inline constexpr char kHost[] = "rounds.example";

json Configuration(int version, const std::vector<route>& routes,
                   const std::vector<std::string>& services);

// A client's request.
request ClientRequest(const std::string& id, const std::string& method,
                      const std::string& path, milliseconds deadline);

// Sends it to the machine's proxy and records it and its answer.
call_result Ask(record& log, const machine& at, const request& message);

// Whether the case is to be played with its disruption.
bool HasTrouble();

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_3_MESH_H_
