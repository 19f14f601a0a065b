// A stand-in for an application server: it runs as many requests at once as it
// has slots, queues some more, refuses the rest as not executed, and reports
// itself to the proxy on its machine.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_SERVER_H_
#define FIREFLYSPAR_REVIEW_STANDINS_SERVER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

#include "http.h"
#include "record.h"

namespace fireflyspar::review {

struct server_options {
  std::string id;
  std::string service;
  std::string zone;
  endpoint address;
  endpoint control;  // Where it reports itself.
  int slots = 6;
  int queue = 24;
  // Returns how long the server works on a request.
  std::function<milliseconds(const std::string& request_id)> work_of =
      [](const std::string&) { return milliseconds(20); };
  milliseconds starts_after{0};  // Before its first report.
  // Returns for how long the server stays cold.
  std::function<milliseconds()> cold_left = [] { return milliseconds(0); };
  record* log = nullptr;
  // Returns whether the server refuses this request, though it has room.
  std::function<bool(const std::string& request_id)> refuses =
      [](const std::string&) { return false; };
  // Returns after which time the server sends a second copy of this answer;
  // zero: it sends none. `position` is the number of requests that have come
  // since the server was idle.
  std::function<milliseconds(int status, int position)> copy_delay =
      [](int, int) { return milliseconds(0); };
};

class app_server {
 public:
  explicit app_server(server_options options);

  // Serves and reports until the process ends. Throws if it can't listen.
  void Start();

 private:
  void Serve(const connection_ptr& from);
  message Answer(const message& request);
  // Returns how many requests have come since the server was idle.
  int CountArrival();
  message Run(const message& request);
  void SendCopyLater(const connection_ptr& to, std::string bytes,
                     milliseconds delay);
  void Report();

  server_options options_;
  std::int64_t start_ms_;
  std::mutex mutex_;
  std::condition_variable slot_is_free_;
  int running_ = 0;
  int waiting_ = 0;
  int since_idle_ = 0;
};

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_SERVER_H_
