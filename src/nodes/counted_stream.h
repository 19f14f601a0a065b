// A byte stream that counts the bytes sent and received through it. It sits
// below the RPC library, so that the counters include the library's framing.
#ifndef FIREFLYSPAR_NODES_COUNTED_STREAM_H_
#define FIREFLYSPAR_NODES_COUNTED_STREAM_H_

#include <kj/async-io.h>

#include "base/metrics.h"

namespace fireflyspar::nodes {

struct wire_counters {
  base::counter& sent;
  base::counter& received;
};

class counted_stream final : public kj::AsyncIoStream {
 public:
  counted_stream(kj::Own<kj::AsyncIoStream> inner, wire_counters counters);

  // Returns true once the peer has closed the stream or a read has failed.
  bool HasEnded() const { return ended_; }

  // Implements kj::AsyncIoStream.
  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes,
                              size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

 private:
  kj::Own<kj::AsyncIoStream> inner_;
  wire_counters counters_;
  bool ended_ = false;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_COUNTED_STREAM_H_
