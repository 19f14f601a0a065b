#include "nodes/traffic_counters.h"

#include <string>

namespace fireflyspar::nodes {
namespace {

std::string Labels(std::string_view kind, direction way) {
  std::string labels = R"(seam="nodes",kind=")";
  labels.append(kind).append(R"(",direction=")");
  labels.append(way == direction::kSent ? "sent" : "received").append("\"");
  return labels;
}

}  // namespace

void traffic_counters::Count(std::string_view kind, direction way,
                             std::uint64_t words) {
  constexpr std::uint64_t kBytesPerWord = 8;
  const std::string labels = Labels(kind, way);
  metrics_.Counter("fireflyspar_control_bytes_total", labels) +=
      static_cast<std::int64_t>(words * kBytesPerWord);
  metrics_.Counter("fireflyspar_control_messages_total", labels) += 1;
}

void traffic_counters::CountFault(std::string_view reason) {
  std::string label = "reason=\"";
  label.append(reason).append("\"");
  metrics_.Counter("fireflyspar_node_connection_faults_total", label) += 1;
}

wire_counters traffic_counters::Wire() {
  constexpr std::string_view kName = "fireflyspar_control_wire_bytes_total";
  return {.sent = metrics_.Counter(kName, R"(seam="nodes",direction="sent")"),
          .received =
              metrics_.Counter(kName, R"(seam="nodes",direction="received")")};
}

}  // namespace fireflyspar::nodes
