#include "nodes/peer_server.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

namespace fireflyspar::nodes {
namespace {

constexpr auto kPauseAfterFailure = 100 * kj::MILLISECONDS;

capnp::ReaderOptions ReadLimits() {
  constexpr int kNesting = 16;
  return {.traversalLimitInWords = kMaxMessageWords, .nestingLimit = kNesting};
}

// Fails the request with the given reason, by throwing a kj::Exception as kj
// expects of request handlers.
void Refuse(const std::string& why) {
  kj::throwFatalException(
      KJ_EXCEPTION(FAILED, "request refused", kj::StringPtr(why)));
}

}  // namespace

class peer_server::service final : public wire::Peer::Server {
 public:
  service(peer_server& owner, std::size_t& requests)
      : owner_(owner), requests_(requests) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    const auto message = context.getParams().getMessage();
    auto read = Read(message);
    if (!read) RefuseMalformed(read.Failure());
    Admit(read->sender_address);
    const std::string_view kind = decisions::KindOf(*read);
    Count(kind, direction::kReceived, message);
    auto answer = context.getResults().initAnswer();
    Write(owner_.options_.answer(*read), answer);
    Count(kind, direction::kSent, answer.asReader());
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext context) override {
    const auto params = context.getParams();
    Admit(ReadAddress(params.getSender()));
    Count("probe", direction::kReceived, params);
    const base::address target = ReadAddress(params.getTarget());
    context.releaseParams();
    return owner_.options_.probe(target).then(
        [this, context](bool reached) mutable {
          context.getResults().setReached(reached);
          Count("probe", direction::kSent, context.getResults().asReader());
        });
  }

  kj::Promise<void> fetch(FetchContext context) override {
    const auto params = context.getParams();
    Admit(ReadAddress(params.getSender()));
    Count("configuration", direction::kReceived, params);
    const auto hash = params.getHaveHash();
    auto answer = context.getResults().initAnswer();
    Write(owner_.options_.fetch(std::string(hash.begin(), hash.size())),
          answer);
    Count("configuration", direction::kSent, answer.asReader());
    return kj::READY_NOW;
  }

  kj::Promise<void> report(ReportContext context) override {
    const auto params = context.getParams();
    Admit(ReadAddress(params.getSender()));
    Count("evidence", direction::kReceived, params);
    owner_.options_.report(Read(params.getReport()));
    return kj::READY_NOW;
  }

 private:
  template <typename Message>
  void Count(std::string_view kind, direction way, Message message) {
    owner_.counters_.Count(kind, way, message.totalSize().wordCount);
  }

  void RefuseMalformed(const base::failure& failure) {
    owner_.counters_.CountFault("malformed_message");
    Refuse(failure.detail);
  }

  base::address ReadAddress(capnp::Text::Reader text) {
    auto address = base::ParseAddress({text.begin(), text.size()});
    if (!address) RefuseMalformed(address.Failure());
    return *address;
  }

  void Admit(const base::address& sender) {
    const auto& may_connect = owner_.options_.may_connect;
    if (may_connect && !may_connect(sender)) Refuse("cut off");
    ++requests_;
  }

  peer_server& owner_;
  std::size_t& requests_;
};

// One accepted connection.
class peer_server::connection {
 public:
  connection(peer_server& owner, kj::Own<kj::AsyncIoStream> stream)
      : owner_(owner),
        stream_(std::move(stream), owner.counters_.Wire()),
        network_(stream_, capnp::rpc::twoparty::Side::SERVER, ReadLimits()),
        rpc_(capnp::makeRpcServer(network_,
                                  kj::heap<service>(owner, requests_))) {
    // Bounds the memory that one peer's unanswered requests take up here.
    rpc_.setFlowLimit(kMaxMessageWords);
    ++owner_.connections_;
  }

  ~connection() {
    --owner_.connections_;
    // If the peer has not closed the stream and no read has failed, it is this
    // side that closes the connection.
    if (!stream_.HasEnded()) owner_.counters_.CountFault("closed_here");
  }

  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Returns a promise that resolves when the connection is closed, broken or
  // has been idle for too long.
  kj::Promise<void> Done() {
    return network_.onDisconnect().exclusiveJoin(WatchIdle());
  }

 private:
  // Returns a promise that resolves once a whole idle timeout has passed
  // without a request.
  kj::Promise<void> WatchIdle() {
    const std::size_t requests_before = requests_;
    return owner_.timer_.afterDelay(owner_.options_.idle_timeout)
        .then([this, requests_before]() -> kj::Promise<void> {
          if (requests_ == requests_before) return kj::READY_NOW;
          return WatchIdle();
        });
  }

  peer_server& owner_;
  std::size_t requests_ = 0;
  counted_stream stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

peer_server::peer_server(peer_server_options options, kj::Timer& timer,
                         traffic_counters& counters)
    : options_(std::move(options)),
      timer_(timer),
      counters_(counters),
      tasks_(*this) {}

void peer_server::Serve(kj::Own<kj::ConnectionReceiver> listener) {
  listener_ = std::move(listener);
  tasks_.add(AcceptLoop());
}

kj::Promise<void> peer_server::AcceptLoop() {
  return listener_->accept()
      .then([this](kj::Own<kj::AsyncIoStream> stream) {
        Accept(std::move(stream));
      })
      .catch_([this](kj::Exception&&) {
        counters_.CountFault("accept_failed");
        return timer_.afterDelay(kPauseAfterFailure);
      })
      .then([this] { return AcceptLoop(); });
}

void peer_server::Accept(kj::Own<kj::AsyncIoStream> stream) {
  if (connections_ >= options_.max_connections) {
    counters_.CountFault("too_many_connections");
    return;
  }
  auto accepted = kj::heap<connection>(*this, std::move(stream));
  auto done = accepted->Done();
  tasks_.add(done.attach(std::move(accepted)));
}

void peer_server::taskFailed(kj::Exception&&) {
  counters_.CountFault("connection_failed");
}

}  // namespace fireflyspar::nodes
