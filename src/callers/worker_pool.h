// The pool of worker threads of the call path. Each worker has its own event
// loop and keeps the connections that it accepted or opened, so that a call
// takes no lock for its connections.
#ifndef FIREFLYSPAR_CALLERS_WORKER_POOL_H_
#define FIREFLYSPAR_CALLERS_WORKER_POOL_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include "backend_servers/connection_pool.h"

namespace fireflyspar::callers {

namespace net = boost::asio;

struct worker {
  worker() : loop(1), connections(loop.get_executor()) {}

  net::io_context loop;
  backend_servers::connection_pool connections;
  net::executor_work_guard<net::io_context::executor_type> work_guard{
      loop.get_executor()};
  std::thread thread;
};

class worker_pool {
 public:
  explicit worker_pool(int workers);
  ~worker_pool();
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  void Start();

  // Stops the event loops and joins the threads. Work that is still running is
  // dropped.
  void Stop();

  worker& At(std::size_t index) { return *workers_[index]; }
  std::size_t Count() const { return workers_.size(); }

 private:
  std::vector<std::unique_ptr<worker>> workers_;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_WORKER_POOL_H_
