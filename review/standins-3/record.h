// What was sent, answered and run, in the order in which it happened; written
// to record.txt.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_3_RECORD_H_
#define FIREFLYSPAR_REVIEW_STANDINS_3_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class record {
 public:
  explicit record(const std::string& path)
      : begun_(std::chrono::steady_clock::now()), file_(path) {}

  // Seconds since the record began.
  double Now() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         begun_)
        .count();
  }

  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_.precision(3);
    file_ << std::fixed << Now() << ' ' << text << '\n' << std::flush;
  }

 private:
  std::chrono::steady_clock::time_point begun_;
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_3_RECORD_H_
