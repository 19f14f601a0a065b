// Writes the states of roll-outs to the store. Many proxies come to the same
// conclusion at about the same time; each waits for a random moment first, so
// that mostly one writes and the others see it done. Writes are conditional on
// the revision that was read, so that the first outcome stands for ever.
#ifndef FIREFLYSPAR_APP_ROLLOUT_WRITER_H_
#define FIREFLYSPAR_APP_ROLLOUT_WRITER_H_

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "app/platform_adapter.h"
#include "base/event_log.h"
#include "base/hooks.h"

namespace fireflyspar::app {

struct rollout_writer_options {
  net::any_io_executor executor;
  const platform_adapter* adapter = nullptr;
  const proxy::object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  base::clock_hook clock;
};

class rollout_writer {
 public:
  explicit rollout_writer(rollout_writer_options options)
      : options_(std::move(options)) {}

  // An order as the store has it now.
  void OnObject(const proxy::stored_object& object);

  // Sees to it that the store says this state, unless it has an outcome.
  void Write(const decisions::trial_order& order);

 private:
  net::awaitable<void> WriteSoon(decisions::trial_order order);
  net::awaitable<void> Pause(base::duration longest);
  bool IsSettled(const decisions::trial_order& order) const;
  std::int64_t NowMs() const;

  rollout_writer_options options_;
  std::map<std::string, proxy::stored_object> objects_;  // By service.
  // Service, version and state.
  std::set<std::tuple<std::string, std::string, decisions::trial_state>>
      under_way_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_ROLLOUT_WRITER_H_
