#include "app/platform_jobs.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log.h"
#include "decisions/membership.h"
#include "platform/roster.h"

namespace fireflyspar::app {
namespace {

// Number of holders of each job, so that the job goes on while the failure of
// one of them has not been detected yet.
constexpr std::size_t kJobHolders = 2;

constexpr std::string_view kRelayJob = "relay";
constexpr std::string_view kRosterJob = "roster";

// Wraps a call so that it fails, as on a partitioned network, while
// `may_connect` forbids it.
template <typename value, typename... arguments>
std::function<base::result<value>(arguments...)> WithFaultInjection(
    const std::function<bool()>& may_connect,
    std::function<base::result<value>(arguments...)> call) {
  return [may_connect,
          call = std::move(call)](arguments... given) -> base::result<value> {
    if (may_connect && !may_connect()) {
      return base::Fail(base::error_kind::kPlatformUnavailable,
                        "cut off by the fault switch");
    }
    return call(given...);
  };
}

}  // namespace

platform_jobs::platform_jobs(platform_jobs_options options)
    : options_(std::move(options)),
      budget_({.clock = options_.clock}),
      relay_(RelayOptions()),
      reconciler_(ReconcilerOptions()),
      writer_(WriterOptions()) {}

platform::object_api platform_jobs::MakeApi() {
  platform::object_api api = platform::MakeHttpObjectApi(
      {.platform_address = options_.platform_address,
       .metrics = options_.metrics,
       .budget = &budget_});
  api.get = WithFaultInjection(options_.may_connect, std::move(api.get));
  api.put = WithFaultInjection(options_.may_connect, std::move(api.put));
  api.list = WithFaultInjection(options_.may_connect, std::move(api.list));
  api.watch = WithFaultInjection(options_.may_connect, std::move(api.watch));
  api.remove = WithFaultInjection(options_.may_connect, std::move(api.remove));
  return api;
}

bool platform_jobs::HasJob(const std::string& job) const {
  return options_.mesh->HasJob(job, kJobHolders);
}

platform::relay_options platform_jobs::RelayOptions() {
  nodes::mesh* mesh = options_.mesh;
  return {
      .api = MakeApi(),
      .random = options_.random,
      .metrics = options_.metrics,
      .is_assigned = [this] { return HasJob(std::string(kRelayJob)); },
      .offer_configuration =
          [mesh](const config::snapshot_ptr& snapshot) {
            mesh->Offer(snapshot);
          },
      .offer_move = [mesh](const decisions::move& move) { mesh->Offer(move); },
      .remove_move = [mesh](const std::string& id) { mesh->Forget(id); },
  };
}

platform::object_reconciler_options platform_jobs::ReconcilerOptions() {
  return {
      .api = MakeApi(),
      .clock = options_.clock,
      .random = options_.random,
      .metrics = options_.metrics,
      .objects = {platform::ReconciledRoster({
                      .data_centre = options_.data_centre,
                      .random = options_.random,
                      .is_assigned =
                          [this] { return HasJob(std::string(kRosterJob)); },
                      .living = [this] { return LivingAddresses(); },
                  }),
                  platform::ReconciledStatusReport({
                      .data_centre = options_.data_centre,
                      .clock = options_.clock,
                      .is_assigned =
                          [this] {
                            return HasJob(std::string(nodes::kStatusJob));
                          },
                      .observe = [this] { return LivingVersions(); },
                  })},
  };
}

platform::outcome_writer_options platform_jobs::WriterOptions() {
  return {
      .api = MakeApi(),
      .random = options_.random,
      .metrics = options_.metrics,
      .on_written = [mesh = options_.mesh](
                        const decisions::move& move) { mesh->Offer(move); },
  };
}

std::vector<base::address> platform_jobs::LivingAddresses() const {
  const auto view = options_.mesh->View();
  std::vector<base::address> living;
  for (const decisions::member_record& member : view->members) {
    if (member.data_centre == options_.data_centre && IsLiving(member)) {
      living.push_back(member.rpc_address);
    }
  }
  return living;
}

std::vector<platform::node_version> platform_jobs::LivingVersions() const {
  const auto view = options_.mesh->View();
  const auto reported = options_.mesh->ReportedVersions();
  std::vector<platform::node_version> versions;
  for (const decisions::member_record& member : view->members) {
    if (member.data_centre != options_.data_centre || !IsLiving(member)) {
      continue;
    }
    const auto found = reported.find(member.node_id);
    versions.push_back(
        {.node_id = member.node_id,
         .version = found == reported.end() ? 0 : found->second});
  }
  return versions;
}

std::vector<std::string> platform_jobs::RequiredDataCentres() const {
  const auto view = options_.mesh->View();
  if (view->configuration) {
    const auto& listed = view->configuration->content.data_centres;
    if (!listed.empty()) {
      const std::set<std::string> sorted(listed.begin(), listed.end());
      return {sorted.begin(), sorted.end()};
    }
  }
  std::set<std::string> known;
  for (const decisions::member_record& member : view->members) {
    known.insert(member.data_centre);
  }
  return {known.begin(), known.end()};
}

void platform_jobs::Start() {
  relay_.Start();
  reconciler_.Start();
  writer_.Start();
}

void platform_jobs::Stop() {
  relay_.Stop();
  reconciler_.Stop();
  writer_.Stop();
}

base::status platform_jobs::FetchIntoMesh(std::chrono::milliseconds limit) {
  const platform::object_api api = MakeApi();
  if (const auto rosters = platform::ReadRosters(api)) {
    for (const platform::roster& each : *rosters) {
      options_.mesh->AddSeeds(each.addresses);
    }
  }
  const auto fetched = platform::FetchPlatformState(
      {.api = api, .random = options_.random, .limit = limit});
  if (!fetched) return fetched.Failure();
  if (fetched->configuration) options_.mesh->Offer(fetched->configuration);
  std::ranges::for_each(fetched->moves, [this](const decisions::move& move) {
    options_.mesh->Offer(move);
  });
  return base::success{};
}

void platform_jobs::WriteRolledBack(const decisions::move& move) {
  writer_.Write(
      {.move_id = move.id, .rolled_back = true, .evidence = move.evidence});
}

void platform_jobs::WriteReady(const std::string& move_id) {
  writer_.Write({.move_id = move_id,
                 .ready_data_centres = {options_.data_centre},
                 .required_data_centres = RequiredDataCentres()});
}

}  // namespace fireflyspar::app
