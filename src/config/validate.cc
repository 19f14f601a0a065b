#include "config/validate.h"

#include <algorithm>
#include <functional>
#include <set>

#include "base/utf8.h"
#include "config/json_document.h"
#include "config/preset_text.h"
#include "config/route_checks.h"

namespace fireflyspar::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxNameBytes = 100;
constexpr std::size_t kMaxDescriptionBytes = 2000;
constexpr std::size_t kMaxDataCentres = 64;
constexpr std::size_t kMaxServices = 2000;
constexpr std::size_t kMaxRoutes = 4000;
constexpr std::size_t kMaxVersions = 20;
constexpr int kFullPercent = 100;
constexpr int kMaxCallsPerSecond = 10'000'000;
constexpr int kMaxInFlight = 100'000;
constexpr int kMaxAttempts = 5;
constexpr milliseconds kMinTimeout{1};
constexpr milliseconds kMaxTimeout{600'000};
constexpr double kMinUnprovenPercent = 0.01;
constexpr double kMaxUnprovenPercent = 50;
constexpr seconds kMaxBake{86'400};

// Checks a preset in one pass and collects all errors.
class checker {
 public:
  explicit checker(const preset& value) : value_(value) {}

  validation_errors Run() {
    CheckTopLevelFields();
    CheckServices();
    CheckRoutes();
    CheckMoves();
    CheckSize();
    return std::move(out_);
  }

 private:
  void Add(std::string at, const nlohmann::json& value, std::string expected) {
    out_.push_back({std::move(at), Excerpt(value), std::move(expected)});
  }

  void CheckName(const std::string& at, const std::string& name) {
    if (!IsName(name)) {
      Add(at, name,
          "a name of at most " + std::to_string(kMaxNameBytes) +
              " lower-case letters, digits, '-', '.' or '_' that begins with a "
              "letter or digit");
    }
  }

  // Adds `name` to `seen`. Reports an error if it is already there.
  void CheckUnique(const std::string& at, const std::string& name,
                   std::set<std::string_view>& seen) {
    if (!seen.insert(name).second) {
      Add(at, name, "a name that is not taken by an earlier entry");
    }
  }

  template <typename T>
  void CheckRange(const std::string& at, T number, T min_value, T max_value) {
    if (number >= min_value && number <= max_value) return;
    const nlohmann::json from = min_value;
    const nlohmann::json to = max_value;
    Add(at, number, "a number from " + from.dump() + " to " + to.dump());
  }

  void CheckCount(const std::string& at, std::size_t count,
                  std::size_t max_value) {
    if (count > max_value) {
      Add(at, std::to_string(count) + " entries",
          "at most " + std::to_string(max_value));
    }
  }

  void CheckTopLevelFields();
  void CheckService(const service& each, const std::string& at);
  void CheckShares(const service& each, const std::string& at);
  void CheckServices();
  void CheckRoutes();
  void CheckMoves();
  void CheckSize();

  static bool IsName(std::string_view text) {
    const auto is_alphanumeric = [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
    };
    return !text.empty() && text.size() <= kMaxNameBytes &&
           is_alphanumeric(text.front()) &&
           std::ranges::all_of(text, [&](char c) {
             return is_alphanumeric(c) || c == '-' || c == '.' || c == '_';
           });
  }

  const preset& value_;
  validation_errors out_;
};

void checker::CheckTopLevelFields() {
  CheckRange("/schema_version", value_.schema_version, 1, kSchemaVersion);
  CheckName("/name", value_.name);
  if (value_.description.size() > kMaxDescriptionBytes ||
      !base::IsUtf8(value_.description)) {
    Add("/description", value_.description,
        "UTF-8 of at most " + std::to_string(kMaxDescriptionBytes) + " bytes");
  }
  if (value_.data_centres.empty()) {
    Add("/data_centres", value_.data_centres, "at least one data centre");
  }
  CheckCount("/data_centres", value_.data_centres.size(), kMaxDataCentres);
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < value_.data_centres.size(); ++i) {
    const std::string at = PointerTo("/data_centres", i);
    CheckName(at, value_.data_centres[i]);
    CheckUnique(at, value_.data_centres[i], seen);
  }
}

void checker::CheckShares(const service& each, const std::string& at) {
  std::set<std::string_view> seen;
  std::int64_t total = 0;
  for (std::size_t i = 0; i < each.versions.size(); ++i) {
    const version_share& share = each.versions[i];
    const std::string share_at = PointerTo(at, i);
    CheckName(share_at + "/version", share.version);
    CheckUnique(share_at + "/version", share.version, seen);
    CheckRange(share_at + "/percent", share.percent, 0, kFullPercent);
    total += share.percent;
  }
  if (total != kFullPercent) {
    Add(at, std::to_string(total) + " percent in all",
        "versions whose shares add up to 100 percent");
  }
  CheckCount(at, each.versions.size(), kMaxVersions);
}

void checker::CheckService(const service& each, const std::string& at) {
  CheckShares(each, at + "/versions");
  CheckRange(at + "/max_calls_per_second", each.max_calls_per_second, 0,
             kMaxCallsPerSecond);
  CheckRange(at + "/max_in_flight_per_caller", each.max_in_flight_per_caller, 0,
             kMaxInFlight);
  CheckRange(at + "/timeout_ms", each.timeout.count(), kMinTimeout.count(),
             kMaxTimeout.count());
  CheckRange(at + "/retries/max_attempts", each.retries.max_attempts, 1,
             kMaxAttempts);
  CheckRange(at + "/retries/budget_percent", each.retries.budget_percent, 0,
             kFullPercent);
}

void checker::CheckServices() {
  CheckCount("/services", value_.services.size(), kMaxServices);
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < value_.services.size(); ++i) {
    const service& each = value_.services[i];
    const std::string at = PointerTo("/services", i);
    CheckName(at + "/name", each.name);
    CheckUnique(at + "/name", each.name, seen);
    CheckService(each, at);
  }
}

void checker::CheckRoutes() {
  CheckCount("/routes", value_.routes.size(), kMaxRoutes);
  std::set<std::string_view> services;
  for (const service& each : value_.services) services.insert(each.name);
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < value_.routes.size(); ++i) {
    const route& each = value_.routes[i];
    const std::string at = PointerTo("/routes", i);
    CheckName(at + "/name", each.name);
    CheckUnique(at + "/name", each.name, seen);
    if (!services.contains(each.service)) {
      Add(at + "/service", each.service, "the name of one of the services");
    }
    // 0 stands for the service's timeout.
    CheckRange(at + "/timeout_ms", each.timeout.count(), milliseconds::rep{0},
               kMaxTimeout.count());
    CheckMatch(each, at, out_);
  }
  if (value_.routes.size() <= kMaxRoutes) CheckOrder(value_.routes, out_);
}

void checker::CheckMoves() {
  CheckRange("/moves/max_unproven_percent", value_.moves.max_unproven_percent,
             kMinUnprovenPercent, kMaxUnprovenPercent);
  CheckRange("/moves/bake_s", value_.moves.bake.count(), seconds::rep{0},
             kMaxBake.count());
}

// Checks the size of the canonical text, which is the text that is stored. It
// can be longer than the operator's text, because it contains the default
// values that the operator left out.
void checker::CheckSize() {
  const std::size_t bytes = ToText(value_).size();
  if (bytes > kMaxPresetBytes) {
    Add("", std::to_string(bytes) + " bytes with every default written out",
        "at most " + std::to_string(kMaxPresetBytes) + " bytes");
  }
}

}  // namespace

validation_errors Validate(const preset& value) { return checker(value).Run(); }

}  // namespace fireflyspar::config
