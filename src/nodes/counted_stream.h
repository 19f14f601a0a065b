// A byte stream that counts what passes through it. Counting sits here, below
// the RPC library, so that its framing is counted with the messages.
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

  // True once the peer closed the stream or it broke.
  bool HasEnded() const { return ended_; }

  // kj's interface.
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
