#include "nodes/counted_stream.h"

#include <utility>

namespace fireflyspar::nodes {

counted_stream::counted_stream(kj::Own<kj::AsyncIoStream> inner,
                               wire_counters counters)
    : inner_(std::move(inner)), counters_(counters) {}

kj::Promise<size_t> counted_stream::tryRead(void* buffer, size_t min_bytes,
                                            size_t max_bytes) {
  return inner_->tryRead(buffer, min_bytes, max_bytes)
      .then(
          [this, min_bytes](size_t size) {
            counters_.received += static_cast<std::int64_t>(size);
            if (size < min_bytes) ended_ = true;
            return size;
          },
          [this](kj::Exception&& failure) -> size_t {
            ended_ = true;
            kj::throwRecoverableException(std::move(failure));
            return 0;
          });
}

kj::Promise<void> counted_stream::write(const void* buffer, size_t size) {
  counters_.sent += static_cast<std::int64_t>(size);
  return inner_->write(buffer, size);
}

kj::Promise<void> counted_stream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto& piece : pieces) {
    counters_.sent += static_cast<std::int64_t>(piece.size());
  }
  return inner_->write(pieces);
}

kj::Promise<void> counted_stream::whenWriteDisconnected() {
  return inner_->whenWriteDisconnected();
}

void counted_stream::shutdownWrite() { inner_->shutdownWrite(); }

void counted_stream::abortRead() { inner_->abortRead(); }

}  // namespace fireflyspar::nodes
