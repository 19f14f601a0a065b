// Keeps the decisions to withhold a request in the platform's store, for the
// case that all processes which know one end at the same moment. The process
// that decided writes the object. A process reads all of them once, when it
// starts, and then again while any is in force: an operator ends a decision by
// deleting its object. On a day without decisions nothing else is called.
#ifndef FIREFLYSPAR_APP_WITHHELD_REQUESTS_H_
#define FIREFLYSPAR_APP_WITHHELD_REQUESTS_H_

#include <functional>
#include <map>
#include <string>

#include "base/event_log.h"
#include "base/hooks.h"
#include "decisions/crash_suspects.h"
#include "proxy/object_store.h"

namespace fireflyspar::app {

namespace net = boost::asio;

struct withheld_requests_options {
  net::any_io_executor executor;
  const proxy::object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  base::clock_hook clock;
  std::string kind;      // Of the objects.
  std::string instance;  // Of this process.
  decisions::crash_suspects* suspects = nullptr;
  // Called when an operator has ended a decision.
  std::function<void(const decisions::suspect&)> on_lifted = [](const auto&) {};
  // Pause between two looks at what is to be written, and between two reads
  // while a request is withheld.
  base::duration look_pause = std::chrono::seconds(1);
  base::duration read_pause = std::chrono::seconds(10);
};

class withheld_requests {
 public:
  explicit withheld_requests(withheld_requests_options options)
      : options_(std::move(options)) {}

  // Runs for as long as the process.
  net::awaitable<void> Run();

 private:
  struct seen_object {
    base::store_revision revision;
    int term = 0;  // Of the decision that it holds.
    std::string service;
    std::string digest;
  };

  net::awaitable<void> Pause(base::duration span);
  // Reads all objects. Returns whether the store served it.
  net::awaitable<bool> Read();
  void TakeIn(const proxy::stored_object& object);
  // Ends the decisions whose objects were deleted.
  void LiftMissing(const proxy::object_list& listed);
  net::awaitable<void> WriteOwn();
  net::awaitable<void> Write(decisions::suspect known);
  // Returns whether this process has to write the decision.
  bool MustWrite(const decisions::suspect& known,
                 base::steady_instant now) const;
  bool HoldsAny(base::steady_instant now) const;
  std::int64_t NowMs() const;

  withheld_requests_options options_;
  std::map<std::string, seen_object, std::less<>> seen_;  // By name.
  base::steady_instant next_write_;  // After a write that failed.
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_WITHHELD_REQUESTS_H_
