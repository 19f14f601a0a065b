// A backend server that answers with the bytes that a test chooses, valid or
// not. Runs one thread per connection.
#ifndef FIREFLYSPAR_TESTS_CALLERS_SCRIPTED_SERVER_H_
#define FIREFLYSPAR_TESTS_CALLERS_SCRIPTED_SERVER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/address.h"

namespace fireflyspar::callers {

struct scripted_answer {
  std::string bytes;
  bool closes = false;  // Whether to end the connection after `bytes`.
};

class scripted_server {
 public:
  // Returns the answer to a request, given as text. Runs on the connection's
  // thread.
  using script = std::function<scripted_answer(const std::string& request)>;

  explicit scripted_server(script answers);
  ~scripted_server();

  base::address Address() const { return address_; }
  int Connections() const { return connections_; }
  int Requests() const { return requests_; }

  // Returns the number of connections that the peer closed while it waited for
  // an answer.
  int Abandoned() const { return abandoned_; }

 private:
  void Accept();
  void Serve(int socket);
  bool ReadRequest(int socket, std::string& text);

  script answers_;
  base::address address_;
  int listener_ = -1;
  std::atomic<int> connections_{0};
  std::atomic<int> requests_{0};
  std::atomic<int> abandoned_{0};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Returns a complete 200 answer with the body.
std::string WholeAnswer(const std::string& body);

// The `bytes` of a script that never answers: the server waits until the peer
// closes the connection.
inline constexpr char kNoResponse[] = "";

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_TESTS_CALLERS_SCRIPTED_SERVER_H_
