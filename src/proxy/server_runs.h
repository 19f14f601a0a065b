// The requests that the backend server on this instance may be working on. Most
// are under way: their answers are awaited. A server may also go on with one
// whose caller has left, or whose connection broke, until its deadline.
//
// Runs belong to one start of the server and end with it.
#ifndef FIREFLYSPAR_PROXY_SERVER_RUNS_H_
#define FIREFLYSPAR_PROXY_SERVER_RUNS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/hooks.h"
#include "decisions/crash_suspects.h"

namespace fireflyspar::proxy {

class server_runs {
 private:
  struct run {
    base::steady_instant end;  // By which the server has stopped.
    std::uint64_t start = 0;   // Counts the starts of the server.
  };
  using runs_by_id = std::multimap<std::string, run, std::less<>>;

 public:
  // Runs that go on without a caller are forgotten beyond this number, those
  // that end first at first, and are not kept under longer ids.
  static constexpr std::size_t kMaxAbandoned = 4096;
  static constexpr std::size_t kMaxIdBytes = 256;

  // A request that was sent to the server, until its answer is here or is
  // awaited no more.
  class entry {
   public:
    // `end`: by when the server has stopped working on it. The entry may
    // outlive the gate, when the process ends.
    entry(std::shared_ptr<server_runs> all, std::string_view request_id,
          base::steady_instant end);
    ~entry() { End(); }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    // Notes that the server works on the request no more, or never did.
    void End();
    // Notes that the answer is awaited no more, but the server may go on.
    void Abandon();

   private:
    std::shared_ptr<server_runs> all_;
    runs_by_id::iterator run_;
    bool has_ended_ = false;
  };

  // Must be called with each start of the server that registers.
  void OnStart(const decisions::server_start& start);

  // Notes that the process of this start has ended.
  void OnServerEnd(const decisions::server_start& start);

  // Returns whether the server may be working on the request.
  bool Contains(std::string_view request_id, base::steady_instant now) const;

  // Returns whether an answer to the request is awaited.
  bool IsUnderWay(std::string_view request_id, base::steady_instant now) const;

  std::size_t UnderWay() const { return under_way_.size(); }

 private:
  void Keep(const std::string& request_id, base::steady_instant end);
  // Forgets the run without a caller that ends first.
  void ForgetFirst();
  // Ends what the latest start of the server was working on.
  void EndAll();

  decisions::server_start start_;
  std::uint64_t starts_ = 0;
  runs_by_id under_way_;
  // Runs without a caller: by id the latest end of them, and by their ends.
  std::map<std::string, base::steady_instant, std::less<>> abandoned_;
  std::set<std::pair<base::steady_instant, std::string>> by_end_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SERVER_RUNS_H_
