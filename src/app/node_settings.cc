#include "app/node_settings.h"

#include <array>

namespace fireflyspar::app {
namespace {

using base::setting;
using enum base::setting_kind;

constexpr std::array kNodeSettings = {
    setting{.name = "node-id",
            .help = "this node's name, unique in the fleet; the rpc address "
                    "when empty"},
    setting{.name = "data-centre",
            .help = "the data centre that this instance stands in",
            .required = true},
    setting{.name = "region",
            .default_text = "main",
            .help = "the region that the data centre belongs to",
            .required = true},
    setting{.name = "outside-address",
            .kind = kAddress,
            .help = "listens here for callers outside the mesh",
            .required = true},
    setting{.name = "inside-address",
            .kind = kAddress,
            .help = "listens here for callers inside the mesh",
            .required = true},
    setting{.name = "gate-address",
            .kind = kAddress,
            .help = "listens here for other nodes' calls to the backend server "
                    "beside this node",
            .required = true},
    setting{.name = "rpc-address",
            .kind = kAddress,
            .help = "listens here for the other nodes' control messages",
            .required = true},
    setting{.name = "operators-address",
            .kind = kAddress,
            .help = "listens here for operators, metrics and the backend "
                    "server's announcements",
            .required = true},
    setting{.name = "platform-address",
            .kind = kAddress,
            .help = "the platform's object API",
            .required = true},
    setting{.name = "seeds",
            .kind = kAddresses,
            .help = "rpc addresses of other nodes to join by; the platform's "
                    "roster is used as well"},
    setting{.name = "workers",
            .kind = kNumber,
            .default_text = "2",
            .help = "threads on the call path",
            .min_value = 1,
            .max_value = 64},
    setting{.name = "join-wait",
            .kind = kMilliseconds,
            .default_text = "3000",
            .help = "longest wait at the start for the newest configuration",
            .max_value = 60'000},
    setting{.name = "drain-limit",
            .kind = kMilliseconds,
            .default_text = "30000",
            .help = "longest time that a graceful shutdown waits for running "
                    "requests",
            .max_value = 600'000},
    setting{.name = "log-level",
            .default_text = "info",
            .help = "least level written: debug, info, warning or error"},
    setting{.name = "fault-switch",
            .kind = kBool,
            .default_text = "false",
            .help = "for tests: lets POST /cut on the operators' port name "
                    "addresses that this node must not talk to"},
};

}  // namespace

std::span<const base::setting> NodeSettings() { return kNodeSettings; }

}  // namespace fireflyspar::app
