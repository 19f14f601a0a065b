#include "nodes/peer_client.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <utility>

#include "nodes/peer_server.h"
#include "nodes/socket_address.h"

namespace fireflyspar::nodes {

// One connection to a peer, in use or idle.
class peer_client::connection {
 public:
  connection(peer_client& owner, const base::address& peer)
      : owner_(owner), last_used_(owner.timer_.now()), ready_(Open(peer)) {}

  // Returns a promise that resolves once requests can be sent.
  kj::Promise<void> Ready() { return ready_.addBranch(); }

  wire::Peer::Client Peer() { return *peer_; }

  // Returns true once the connection is known to be closed.
  bool IsClosed() const { return closed_; }

  void MarkUsed() { last_used_ = owner_.timer_.now(); }
  kj::TimePoint LastUsed() const { return last_used_; }

 private:
  static capnp::rpc::twoparty::VatId::Reader ServerId();

  kj::ForkedPromise<void> Open(const base::address& peer) {
    auto address = ToNetworkAddress(owner_.network_, peer);
    auto connecting = address->connect();
    return connecting
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
          stream_ = kj::heap<counted_stream>(std::move(stream),
                                             owner_.counters_.Wire());
          capnp::ReaderOptions limits;
          limits.traversalLimitInWords = kMaxMessageWords;
          network_ = kj::heap<capnp::TwoPartyVatNetwork>(
              *stream_, capnp::rpc::twoparty::Side::CLIENT, limits);
          rpc_ = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
              capnp::makeRpcClient(*network_));
          // Bootstraps only once, since doing it again on a closed connection
          // would be an error.
          peer_ = kj::heap<wire::Peer::Client>(
              rpc_->bootstrap(ServerId()).castAs<wire::Peer>());
          watch_ =
              network_->onDisconnect()
                  .then([this] { closed_ = true; })
                  .eagerlyEvaluate([this](kj::Exception&&) { closed_ = true; });
        })
        .attach(std::move(address))
        .fork();
  }

  peer_client& owner_;
  kj::TimePoint last_used_;
  kj::Own<counted_stream> stream_;
  kj::Own<capnp::TwoPartyVatNetwork> network_;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_;
  kj::Own<wire::Peer::Client> peer_;
  bool closed_ = false;
  kj::Promise<void> watch_ = kj::READY_NOW;
  // Declared last, so that it is destroyed first: its continuation refers to
  // the members above.
  kj::ForkedPromise<void> ready_;
};

capnp::rpc::twoparty::VatId::Reader peer_client::connection::ServerId() {
  static const auto* const message_holder = [] {
    auto* message = new capnp::MallocMessageBuilder();
    message->initRoot<capnp::rpc::twoparty::VatId>().setSide(
        capnp::rpc::twoparty::Side::SERVER);
    return message;
  }();
  return const_cast<capnp::MallocMessageBuilder*>(message_holder)
      ->getRoot<capnp::rpc::twoparty::VatId>()
      .asReader();
}

peer_client::peer_client(peer_client_options options, kj::Network& network,
                         kj::Timer& timer, traffic_counters& counters)
    : options_(std::move(options)),
      network_(network),
      timer_(timer),
      counters_(counters),
      tasks_(*this) {}

peer_client::~peer_client() noexcept(false) = default;

void peer_client::SetSender(const base::address& sender) {
  sender_ = sender.ToText();
}

std::shared_ptr<peer_client::connection> peer_client::Connect(
    const base::address& peer) {
  const auto found = pool_.find(peer);
  if (found != pool_.end() && !found->second->IsClosed()) {
    found->second->MarkUsed();
    return found->second;
  }
  if (found != pool_.end()) pool_.erase(found);
  if (pool_.size() >= options_.max_connections) EvictOldest();
  auto added = std::make_shared<connection>(*this, peer);
  pool_.emplace(peer, added);
  return added;
}

void peer_client::EvictOldest() {
  const auto oldest = std::ranges::min_element(
      pool_, {}, [](const auto& entry) { return entry.second->LastUsed(); });
  pool_.erase(oldest);
}

void peer_client::CloseIdle() {
  const auto now = timer_.now();
  std::erase_if(pool_, [&](const auto& entry) {
    return now - entry.second->LastUsed() > options_.idle_timeout;
  });
}

void peer_client::Drop(const base::address& peer,
                       const std::shared_ptr<connection>& failed) {
  const auto found = pool_.find(peer);
  if (found != pool_.end() && found->second == failed) pool_.erase(found);
}

template <typename Result, typename Call, typename Done>
void peer_client::Run(const base::address& peer, kj::Duration timeout,
                      Call call, Done done) {
  auto finish = std::make_shared<Done>(std::move(done));
  if (options_.may_connect && !options_.may_connect(peer)) {
    // Deferred to the event loop, so that the callback never runs before the
    // function that sends the request has returned.
    tasks_.add(kj::evalLater([finish] { (*finish)(std::nullopt); }));
    return;
  }
  std::shared_ptr<connection> used;
  // evalNow turns an exception into a failed request. Connect() throws on an
  // invalid address, and addresses may come from other nodes.
  auto outcome = kj::evalNow([&] {
    used = Connect(peer);
    return used->Ready().then([used, call = std::move(call)]() mutable {
      return call(used->Peer());
    });
  });
  tasks_.add(timer_.timeoutAfter(timeout, std::move(outcome))
                 .then(
                     [finish](std::optional<Result>&& result) {
                       (*finish)(std::move(result));
                     },
                     [this, finish, peer, used](kj::Exception&&) {
                       Drop(peer, used);
                       (*finish)(std::nullopt);
                     })
                 .attach(std::shared_ptr<connection>(used)));
}

void peer_client::Exchange(
    const base::address& peer, const decisions::gossip& message,
    std::function<void(std::optional<decisions::gossip>)> done) {
  const std::string_view kind = decisions::KindOf(message);
  auto call = [this, kind, message](wire::Peer::Client client) {
    auto request = client.exchangeRequest();
    Write(message, request.initMessage());
    counters_.Count(kind, direction::kSent, request.totalSize().wordCount);
    return request.send().then(
        [this, kind](auto&& response) -> std::optional<decisions::gossip> {
          const auto answer = response.getAnswer();
          counters_.Count(kind, direction::kReceived,
                          answer.totalSize().wordCount);
          auto read = Read(answer);
          if (!read) {
            counters_.CountFault("malformed_answer");
            return std::nullopt;
          }
          return *std::move(read);
        });
  };
  Run<decisions::gossip>(peer, options_.request_timeout, std::move(call),
                         std::move(done));
}

void peer_client::Probe(const base::address& helper,
                        const base::address& target,
                        std::function<void(bool reached)> done) {
  auto call = [this, target](wire::Peer::Client client) {
    auto request = client.probeRequest();
    request.setSender(sender_);
    request.setTarget(target.ToText());
    counters_.Count("probe", direction::kSent, request.totalSize().wordCount);
    return request.send().then([this](auto&& response) -> std::optional<bool> {
      counters_.Count("probe", direction::kReceived,
                      response.totalSize().wordCount);
      return response.getReached();
    });
  };
  Run<bool>(helper, options_.indirect_probe_timeout, std::move(call),
            [done = std::move(done)](std::optional<bool> reached) {
              done(reached.value_or(false));
            });
}

void peer_client::Fetch(const base::address& peer, const std::string& have_hash,
                        std::function<void(std::optional<fetch_answer>)> done) {
  auto call = [this, have_hash](wire::Peer::Client client) {
    auto request = client.fetchRequest();
    request.setSender(sender_);
    request.setHaveHash(have_hash);
    counters_.Count("configuration", direction::kSent,
                    request.totalSize().wordCount);
    return request.send().then(
        [this](auto&& response) -> std::optional<fetch_answer> {
          const auto answer = response.getAnswer();
          counters_.Count("configuration", direction::kReceived,
                          answer.totalSize().wordCount);
          auto read = Read(answer);
          if (!read) {
            counters_.CountFault("malformed_answer");
            return std::nullopt;
          }
          return *std::move(read);
        });
  };
  Run<fetch_answer>(peer, options_.fetch_timeout, std::move(call),
                    std::move(done));
}

void peer_client::Report(const base::address& peer,
                         const decisions::evidence_report& report) {
  auto call = [this, report](wire::Peer::Client client) {
    auto request = client.reportRequest();
    request.setSender(sender_);
    Write(report, request.initReport());
    counters_.Count("evidence", direction::kSent,
                    request.totalSize().wordCount);
    return request.send().then(
        [](auto&&) -> std::optional<bool> { return true; });
  };
  // A lost report needs no retry, since reports are cumulative: the next one
  // includes everything that this one counted.
  Run<bool>(peer, options_.request_timeout, std::move(call),
            [](std::optional<bool>) {});
}

void peer_client::taskFailed(kj::Exception&&) {
  counters_.CountFault("request_failed");
}

}  // namespace fireflyspar::nodes
