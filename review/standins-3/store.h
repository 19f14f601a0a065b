// A stand-in of the platform's store, as PROTOCOL.md describes it: objects by
// kind and name, one revision counter, conditional writes, lists and watches.
// Calls with `allow_stale` see the store as it was `stale_by` ago. It may have
// a second address, for machines that it can turn away.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_3_STORE_H_
#define FIREFLYSPAR_REVIEW_STANDINS_3_STORE_H_

#include <map>
#include <memory>
#include <vector>

#include "http.h"

namespace review {

class store {
 public:
  store(const address& at, milliseconds stale_by);
  ~store();
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  // Serves the machines that have this address, too.
  void ListenAlso(const address& second);

  // Writes the spec as the operator does.
  void Put(const std::string& kind, const std::string& name, const json& spec);

  // While it is down, the store answers each call with 503 and does nothing;
  // watches that wait are cut off.
  void SetDown(bool is_down);

  // The same for calls to the second address only.
  void SetTurnsAway(bool turns_away);

  void Stop();

  // The spec of an object; null if there is none.
  json Find(const std::string& kind, const std::string& name);

 private:
  struct change {
    std::uint64_t revision = 0;
    steady::time_point at;
    std::string kind;
    json object;
    bool is_removal = false;
  };
  struct call_target {
    std::string kind;
    std::string name;
    bool is_status = false;
    std::map<std::string, std::string> query;
  };
  using objects = std::map<std::string, json>;  // By name.

  static call_target Parse(std::string target);
  std::optional<response> Serve(const request& call, bool is_second);
  response Watch(const call_target& target, bool is_second,
                 std::unique_lock<std::mutex>& lock);
  bool Refuses(bool is_second) const;
  response Write(const request& call, const call_target& target);
  response Delete(const call_target& target);

  // What a call sees.
  steady::time_point SeenAt(const call_target& target) const;
  objects ObjectsAt(const std::string& kind, steady::time_point at) const;
  std::uint64_t RevisionAt(steady::time_point at) const;

  void Store(const std::string& kind, json object, bool is_removal);
  void PutPart(const std::string& kind, const std::string& name,
               const char* part, const json& value);

  milliseconds stale_by_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<change> changes_;
  std::uint64_t revision_ = 100;
  bool is_down_ = false;
  bool turns_away_ = false;
  bool is_stopped_ = false;
  std::unique_ptr<http_server> server_;
  std::unique_ptr<http_server> second_;
};

}  // namespace review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_3_STORE_H_
