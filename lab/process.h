// A child process: the stand-ins and nodes that an experiment or a failure test
// runs. The product itself starts no processes; the lab is not shipped and runs
// on developers' machines only.
#ifndef FIREFLYSPAR_LAB_PROCESS_H_
#define FIREFLYSPAR_LAB_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <span>
#include <string>

#include "base/result.h"

namespace fireflyspar::lab {

class process {
 public:
  // Starts `command` (a path, then arguments). Its standard output and standard
  // error are appended to `log_file`.
  static base::result<process> Start(std::span<const std::string> command,
                                     const std::string& log_file);

  process(process&& other) noexcept;
  process& operator=(process&& other) noexcept;
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Kills the process if it is still running, and waits for it to end.
  ~process();

  pid_t Pid() const { return pid_; }

  // Sends a signal such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
  void Signal(int number) const;

  // Waits for the process to end. Returns its exit code, or 128 plus the number
  // of the signal that ended it.
  int Wait();

  // Processor time used so far, and resident memory.
  struct usage {
    double cpu_seconds = 0;
    std::size_t resident_bytes = 0;
  };
  usage Usage() const;

 private:
  explicit process(pid_t pid) : pid_(pid) {}

  pid_t pid_ = 0;  // Zero after Wait.
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PROCESS_H_
