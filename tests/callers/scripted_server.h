// A backend server that answers with the bytes a test tells it to, whatever
// they are, one thread to a connection.
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
  bool closes = false;  // Ends the connection after them.
};

class scripted_server {
 public:
  // Gives the answer to the request text; runs on the connection's thread.
  using script = std::function<scripted_answer(const std::string& request)>;

  explicit scripted_server(script answers);
  ~scripted_server();

  base::address Address() const { return address_; }
  int Connections() const { return connections_; }
  int Requests() const { return requests_; }

  // Connections that the other side closed before they were answered.
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

// A whole 200 answer with that body.
std::string WholeAnswer(const std::string& body);

// The answer that is never given: the script's word for "keep silent".
inline constexpr char kSilence[] = "";

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_TESTS_CALLERS_SCRIPTED_SERVER_H_
