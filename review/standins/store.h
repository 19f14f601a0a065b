// A stand-in for the platform's store: objects by kind and name, one revision
// counter, conditional writes, lists, and watches from a revision. Each process
// of the system has an address of its own to it, so that the store can turn
// away some machines and serve the others.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_STORE_H_
#define FIREFLYSPAR_REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http.h"

namespace fireflyspar::review {

class store {
 public:
  // Serves the machine at the address.
  void Serve(const std::string& machine, const endpoint& at);

  // Writes an object as the operator does.
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);

  // Turns the machines away from now on: open connections are reset, calls are
  // answered 503 and not done.
  void TurnAway(const std::set<std::string>& machines);
  void ServeAll();

  // Returns the names of the objects of a kind.
  std::set<std::string> Names(const std::string& kind);

 private:
  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool is_removal = false;
  };

  struct call {
    std::string kind;
    std::string name;
    bool is_status = false;
    std::map<std::string, std::string> query;
  };

  static call ParseTarget(const std::string& target);
  void ServeConnection(const std::string& machine, const connection_ptr& from);
  bool IsTurnedAway(const std::string& machine);
  message Execute(const message& request, const std::string& machine);
  message Watch(const call& made, const std::string& machine);
  // These need the lock.
  message List(const call& made);
  message Write(const message& request, const call& made);
  message Remove(const call& made);
  void Change(const std::string& kind, nlohmann::json object);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 500;
  std::map<std::string, std::map<std::string, nlohmann::json>> kinds_;
  std::vector<event> history_;
  std::set<std::string> turned_away_;
  std::map<std::string, std::set<connection_ptr>> connections_;
};

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_STORE_H_
