// A stand-in for the users' store, in memory and on a loopback port, which
// follows their published protocol: objects by kind and name, one revision
// counter, conditional writes, lists in pages, watches from a revision and a
// history that can be dropped. Tests can make it refuse calls, or execute a
// write and lose its response.
#ifndef FIREFLYSPAR_TESTS_ADAPTER_FAKE_STORE_H_
#define FIREFLYSPAR_TESTS_ADAPTER_FAKE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "proxy/listener.h"

namespace fireflyspar::platform {

namespace net = boost::asio;

class fake_store {
 public:
  explicit fake_store(net::io_context& loop);

  const base::address& Address() const { return address_; }

  // Writes an object as another client would; returns its revision.
  std::uint64_t Put(const std::string& kind, const std::string& name,
                    const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

  // The same with CBOR bytes that this program would not write.
  std::uint64_t PutBytes(const std::string& kind, const std::string& name,
                         const std::string& spec);

  // Answers the next `calls` calls with this status and does not execute them.
  void Refuse(unsigned status, int calls) {
    refusal_ = status;
    refusals_left_ = calls;
  }

  // Executes the next write and never sends its response.
  void LoseNextAnswer() { loses_answer_ = true; }

  // Remembers all objects and the revision, for RestoreCopy.
  void SaveCopy() { copy_ = {.kinds = kinds_, .revision = revision_}; }

  // Becomes what it was at SaveCopy, as after a loss: later changes are gone,
  // their revisions are given out again, waiting watches end, and the era in
  // all responses rises by one.
  void RestoreCopy();

  // Makes watches from an earlier revision fail because their history is gone.
  void ForgetHistory() { forgotten_until_ = revision_; }

  void SetPageSize(std::size_t size) { page_size_ = size; }
  const std::vector<std::string>& Targets() const { return targets_; }
  std::optional<nlohmann::json> Find(const std::string& kind,
                                     const std::string& name) const;

 private:
  // CBOR bytes that stand for a text in the bodies of answers.
  struct odd_value {
    std::string placeholder;
    std::string bytes;
  };

  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool is_removal = false;
  };

  struct saved_copy {
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::uint64_t revision = 0;
  };

  struct call_parts {
    std::string kind;
    std::string name;
    bool is_status = false;
    std::map<std::string, std::string> query;
  };

  static call_parts Parse(std::string_view target);

  backend_servers::http_response Answer(unsigned status,
                                        const nlohmann::json& body) const;

  net::awaitable<backend_servers::http_response> Serve(
      proxy::served_call& call);
  net::awaitable<backend_servers::http_response> Execute(
      proxy::served_call& call);
  net::awaitable<backend_servers::http_response> Watch(call_parts parts);
  backend_servers::http_response List(const call_parts& parts) const;
  backend_servers::http_response Write(
      const backend_servers::http_request& request, const call_parts& parts);
  backend_servers::http_response Delete(const call_parts& parts);
  std::uint64_t Store(const std::string& kind, nlohmann::json object);

  net::io_context& loop_;
  base::address address_;
  std::unique_ptr<proxy::listener> listener_;
  std::map<std::string, std::map<std::string, nlohmann::json>> kinds_;
  std::vector<event> history_;
  std::uint64_t revision_ = 10;
  std::uint64_t forgotten_until_ = 0;
  std::uint64_t era_ = 1;
  saved_copy copy_;
  std::size_t page_size_ = 500;
  unsigned refusal_ = 0;
  int refusals_left_ = 0;
  bool loses_answer_ = false;
  std::vector<std::string> targets_;
  std::vector<odd_value> odd_values_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_TESTS_ADAPTER_FAKE_STORE_H_
