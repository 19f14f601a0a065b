// Whatever bytes a server sends: what is taken for an answer is read as the
// same answer when it is passed on.
#include "parsed_answer.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <iterator>
#include <random>
#include <vector>

#include "../soak_seeds.h"

namespace fireflyspar::backend_servers {
namespace {

// Parts of answers, valid and not, that the seeded answers are made of.
constexpr std::array kStatusLines = {
    "HTTP/1.1 200 OK\r\n",  "HTTP/1.1 000 OK\r\n", "HTTP/1.1 204 No\r\n",
    "HTTP/1.1 304 No\r\n",  "HTTP/1.0 200 OK\r\n", "HTTP/1.1 999 \r\n",
    "HTTP/1.1 101 Up\r\n",  "HTTP/1.1 599 \t\r\n", "HTTP/1.1 503 O\x80K\r\n",
    "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 042 A\r\n",  "HTTP/1.1 100 Go\r\n\r\n"};
constexpr std::array kFields = {"Content-Length: 4\r\n",
                                "Content-Length: 4\r\n",
                                "Content-Length: 04, 4\r\n",
                                "Content-Length: +4\r\n",
                                "Content-Length : 3\r\n",
                                "Content-Length: 3\r\n",
                                "Transfer-Encoding: chunked\r\n",
                                "Transfer-Encoding: gzip, chunked\r\n",
                                "Transfer-Encoding: gzip\r\n",
                                "Transfer-Encoding: chunked, chunked\r\n",
                                "Request-Id: a\r\n",
                                "Na me: v\r\n",
                                "Na\x01me: v\r\n",
                                ": v\r\n",
                                " folded\r\n",
                                "Name: \x80\r\n",
                                "Name: a\rb\r\n",
                                "Connection: close\r\n",
                                "Trailer: Other\r\n",
                                "Name:\r\n"};
constexpr std::array kBodies = {"body",
                                "",
                                "4\r\nbody\r\n0\r\n\r\n",
                                "4;a=b\r\nbody\r\n0\r\nNot-Executed: 1\r\n\r\n",
                                "4\r\nbody\r\n0\r\nContent-Length: 9\r\n\r\n",
                                "2\r\nbody\r\n0\r\n\r\n",
                                "bodybody",
                                "0\r\n\r\n"};

class answer_maker {
 public:
  explicit answer_maker(unsigned seed) : random_(seed) {}

  std::string Make() {
    std::string bytes = PickFrom(kStatusLines);
    for (int fields = Draw(5); fields > 0; --fields) {
      bytes += PickFrom(kFields);
    }
    bytes += "\r\n";
    bytes += PickFrom(kBodies);
    for (int changes = Draw(4); changes > 1; --changes) Change(bytes);
    return bytes;
  }

  // Returns a number from 0 to below `count`.
  int Draw(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

 private:
  template <std::size_t N>
  std::string PickFrom(const std::array<const char*, N>& texts) {
    return texts.at(static_cast<std::size_t>(Draw(static_cast<int>(N))));
  }

  // Removes a byte, adds one or replaces one.
  void Change(std::string& bytes) {
    constexpr int kBytes = 256;
    const auto at =
        static_cast<std::size_t>(Draw(static_cast<int>(bytes.size())));
    const char byte = static_cast<char>(Draw(kBytes));
    switch (Draw(3)) {
      case 0:
        bytes.erase(at, 1);
        break;
      case 1:
        bytes.insert(at, 1, byte);
        break;
      default:
        bytes[at] = byte;
    }
  }

  std::mt19937 random_;
};

// Guards against passing on a message that its recipient rejects, or parses as
// a different answer.
TEST_CASE("what is taken for an answer is read as the same when passed on") {
  constexpr int kAnswersPerSeed = 2000;
  const tests::seed_range seeds = tests::SoakSeeds({.first = 1, .last = 20});
  int taken = 0;
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    answer_maker maker(static_cast<unsigned>(seed));
    for (int i = 0; i < kAnswersPerSeed; ++i) {
      const std::string bytes = maker.Make();
      const std::size_t piece =
          maker.Draw(2) == 0 ? std::string::npos
                             : static_cast<std::size_t>(1 + maker.Draw(9));
      const parse_check check =
          CheckParsed({.bytes = bytes,
                       .piece = piece,
                       .is_head_request = maker.Draw(8) == 0,
                       .ends = maker.Draw(2) == 0});
      if (check.is_answer) ++taken;
      CAPTURE(seed, i, bytes, piece);
      if (!check.fault.empty()) FAIL_CHECK(check.fault);
    }
  }
  // Enough of them are answers for the check to mean something.
  constexpr int kLeastTaken = 100;
  CHECK(taken > kLeastTaken);
}

}  // namespace
}  // namespace fireflyspar::backend_servers
