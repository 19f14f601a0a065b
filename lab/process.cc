#include "lab/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>
#include <vector>

namespace fireflyspar::lab {
namespace {

constexpr int kSignalExitBase = 128;

// Spawn attributes that unblock all signals in the child, whichever ones the
// calling thread has blocked.
class spawn_attributes {
 public:
  spawn_attributes() {
    posix_spawnattr_init(&value_);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&value_, &none);
    posix_spawnattr_setflags(&value_, POSIX_SPAWN_SETSIGMASK);
  }
  ~spawn_attributes() { posix_spawnattr_destroy(&value_); }
  spawn_attributes(const spawn_attributes&) = delete;
  spawn_attributes& operator=(const spawn_attributes&) = delete;

  const posix_spawnattr_t* Get() const { return &value_; }

 private:
  posix_spawnattr_t value_{};
};

// File actions that append standard output and standard error to one file.
class output_actions {
 public:
  explicit output_actions(const std::string& log_file) {
    constexpr int kMode = 0644;
    posix_spawn_file_actions_init(&value_);
    posix_spawn_file_actions_addopen(&value_, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kMode);
    posix_spawn_file_actions_adddup2(&value_, STDOUT_FILENO, STDERR_FILENO);
  }
  ~output_actions() { posix_spawn_file_actions_destroy(&value_); }
  output_actions(const output_actions&) = delete;
  output_actions& operator=(const output_actions&) = delete;

  const posix_spawn_file_actions_t* Get() const { return &value_; }

 private:
  posix_spawn_file_actions_t value_{};
};

std::vector<char*> ToArgv(std::vector<std::string>& command) {
  std::vector<char*> argv;
  std::ranges::transform(command, std::back_inserter(argv),
                         [](std::string& text) { return text.data(); });
  argv.push_back(nullptr);
  return argv;
}

}  // namespace

base::result<process> process::Start(std::span<const std::string> command,
                                     const std::string& log_file) {
  std::vector<std::string> owned(command.begin(), command.end());
  const std::vector<char*> argv = ToArgv(owned);
  const spawn_attributes attributes;
  const output_actions actions(log_file);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, argv.front(), actions.Get(),
                                attributes.Get(), argv.data(), environ);
  if (error != 0) {
    return base::Fail(
        base::error_kind::kInternal,
        "cannot start " + owned.front() + ": error " + std::to_string(error));
  }
  return process(pid);
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)) {}

process& process::operator=(process&& other) noexcept {
  std::swap(pid_, other.pid_);
  return *this;
}

process::~process() {
  if (pid_ == 0) return;
  Signal(SIGKILL);
  Wait();
}

void process::Signal(int number) const {
  if (pid_ != 0) kill(pid_, number);
}

int process::Wait() {
  if (pid_ == 0) return 0;
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = 0;
  if (WIFEXITED(status)) return WEXITSTATUS(status);
  return kSignalExitBase + WTERMSIG(status);
}

process::usage process::Usage() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  // The second field, the name in parentheses, may contain spaces. Fields are
  // therefore counted from its closing parenthesis; field 3 is the first one
  // after it.
  const std::size_t after_name = text.rfind(')');
  if (after_name == std::string::npos) return {};
  std::istringstream in(text.substr(after_name + 1));
  const std::vector<std::string> fields{std::istream_iterator<std::string>(in),
                                        {}};
  constexpr std::size_t kUserTicks = 11;      // Field 14 of proc(5).
  constexpr std::size_t kSystemTicks = 12;    // Field 15.
  constexpr std::size_t kResidentPages = 21;  // Field 24.
  if (fields.size() <= kResidentPages) return {};
  const double ticks =
      std::stod(fields[kUserTicks]) + std::stod(fields[kSystemTicks]);
  return {.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
          .resident_bytes = std::stoull(fields[kResidentPages]) *
                            static_cast<std::size_t>(sysconf(_SC_PAGESIZE))};
}

}  // namespace fireflyspar::lab
