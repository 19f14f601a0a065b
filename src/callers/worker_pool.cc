#include "callers/worker_pool.h"

#include <algorithm>

namespace fireflyspar::callers {

worker_pool::worker_pool(int workers) {
  workers_.resize(static_cast<std::size_t>(std::max(1, workers)));
  std::ranges::generate(workers_, [] { return std::make_unique<worker>(); });
}

worker_pool::~worker_pool() { Stop(); }

void worker_pool::Start() {
  for (const auto& each : workers_) {
    each->thread = std::thread([loop = &each->loop] { loop->run(); });
  }
}

void worker_pool::Stop() {
  for (const auto& each : workers_) each->loop.stop();
  for (const auto& each : workers_) {
    if (each->thread.joinable()) each->thread.join();
  }
}

}  // namespace fireflyspar::callers
