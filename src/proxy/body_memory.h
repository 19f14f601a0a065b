// Limits the memory that request bodies take together, so that many large
// requests at once can't exhaust the process: a request whose body finds no
// room is refused before its body is read.
#ifndef FIREFLYSPAR_PROXY_BODY_MEMORY_H_
#define FIREFLYSPAR_PROXY_BODY_MEMORY_H_

#include <cstdint>

namespace fireflyspar::proxy {

class body_memory {
 public:
  explicit body_memory(std::uint64_t max_bytes) : max_bytes_(max_bytes) {}

  std::uint64_t UsedBytes() const { return used_bytes_; }

 private:
  friend class body_reservation;

  std::uint64_t max_bytes_;
  std::uint64_t used_bytes_ = 0;
};

// The part of a body_memory that one request uses, for its lifetime. Without a
// body_memory there is no limit.
class body_reservation {
 public:
  explicit body_reservation(body_memory* memory) : memory_(memory) {}
  ~body_reservation() { Shrink(0); }
  body_reservation(const body_reservation&) = delete;
  body_reservation& operator=(const body_reservation&) = delete;

  // Reserves room for a body. Returns false if there is none. A single body of
  // any size finds room, since its size has a limit of its own.
  bool TryReserve(std::uint64_t bytes) {
    if (memory_ == nullptr) return true;
    const std::uint64_t used = memory_->used_bytes_;
    if (used > 0 && used + bytes > memory_->max_bytes_) return false;
    memory_->used_bytes_ += bytes;
    bytes_ += bytes;
    return true;
  }

  // Returns all but `bytes` of the reserved room.
  void Shrink(std::uint64_t bytes) {
    if (memory_ == nullptr || bytes >= bytes_) return;
    memory_->used_bytes_ -= bytes_ - bytes;
    bytes_ = bytes;
  }

 private:
  body_memory* memory_;
  std::uint64_t bytes_ = 0;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_BODY_MEMORY_H_
