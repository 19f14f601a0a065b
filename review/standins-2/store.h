// A stand-in for the platform's metadata store: objects by kind and name, with
// revisions, conditions and watches, over HTTP with CBOR bodies.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_2_STORE_H_
#define FIREFLYSPAR_REVIEW_STANDINS_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "http.h"

namespace fireflyspar::review {

class store {
 public:
  explicit store(const endpoint& address);

  bool Start() { return server_.Start(); }
  void Stop();

  // Writes an object's spec as the operator does.
  void Write(const std::string& kind, const std::string& name,
             const nlohmann::json& spec);

  // Makes each answer take a time between these from now on.
  void SetAnswerTime(milliseconds least, milliseconds most);

  // Returns the status of an object; null if there is none.
  nlohmann::json Status(const std::string& kind, const std::string& name);

  // Returns the names of the objects of the kind.
  std::vector<std::string> Names(const std::string& kind);

 private:
  struct object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    nlohmann::json spec;
    nlohmann::json status;
  };

  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json content;
  };

  using objects_by_name = std::map<std::string, object>;

  http_message Answer(const http_message& request);
  http_message AnswerAtOnce(const http_message& request);
  milliseconds DrawAnswerTime();
  http_message Get(const http_message& request, const std::string& kind,
                   const std::string& name);
  http_message List(const http_message& request, const std::string& kind);
  http_message Watch(const http_message& request, const std::string& kind,
                     std::uint64_t revision);
  http_message Change(const http_message& request, const std::string& kind,
                      const std::string& name, bool is_status);
  http_message Remove(const http_message& request, const std::string& kind,
                      const std::string& name);
  // Must be called with the mutex held, after the object has changed.
  void Publish(const std::string& kind, const std::string& name,
               bool is_removal);

  http_server server_;
  std::mutex mutex_;  // Protects the members below.
  std::condition_variable changed_;
  bool is_stopped_ = false;
  milliseconds least_answer_time_{0};
  milliseconds most_answer_time_{0};
  std::mt19937_64 random_{std::random_device{}()};
  std::uint64_t revision_ = 1;
  std::map<std::string, objects_by_name> kinds_;
  std::vector<event> events_;
};

// Returns the body as a document; null if it can't be read.
nlohmann::json DecodeBody(const std::string& body);
std::string EncodeBody(const nlohmann::json& document);

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_2_STORE_H_
