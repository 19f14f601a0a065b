#include "presets.h"

namespace fireflyspar::config {
namespace {

using std::chrono::milliseconds;

service ArbitraryService(int index) {
  const int split = *rc::gen::inRange(0, 101);
  return {.name = "service-" + std::to_string(index),
          .versions = {{.version = "v1", .percent = split},
                       {.version = "v2", .percent = 100 - split}},
          .max_calls_per_second = *rc::gen::inRange(0, 10'000'001),
          .max_in_flight_per_caller = *rc::gen::inRange(0, 100'001),
          .timeout = milliseconds(*rc::gen::inRange(1, 600'001)),
          .retries = {.max_attempts = *rc::gen::inRange(1, 6),
                      .budget_percent = *rc::gen::inRange(0, 101)}};
}

route ArbitraryRoute(int index, const std::string& service_name) {
  using method_list = std::vector<std::string>;
  const std::string name = "route-" + std::to_string(index);
  return {.name = name,
          .methods = *rc::gen::element(method_list{}, method_list{"GET"},
                                       method_list{"POST", "PUT"}),
          .path_prefix = "/" + name,
          .headers = *rc::gen::element(
              std::vector<header_match>{},
              std::vector<header_match>{{.name = "x-depot", .value = "a \"b\\"},
                                        {.name = "x-site", .value = ""}}),
          .service = service_name,
          .visible_from =
              *rc::gen::element(visibility::kInside, visibility::kOutside),
          .at_most_once = *rc::gen::arbitrary<bool>(),
          .timeout = milliseconds(*rc::gen::inRange(0, 600'001))};
}

}  // namespace

preset LargePreset(int services) {
  preset made = {.name = "large",
                 .data_centres = {"fukuoka", "kumamoto", "kagoshima"}};
  for (int i = 0; i < services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    made.services.push_back({.name = name,
                             .versions = {{.version = "v1", .percent = 100},
                                          {.version = "v2", .percent = 0}}});
    made.routes.push_back({.name = name + "-lookup",
                           .methods = {"GET"},
                           .path_prefix = "/" + name,
                           .service = name,
                           .visible_from = visibility::kOutside});
    made.routes.push_back({.name = name + "-order",
                           .methods = {"POST"},
                           .path_prefix = "/" + name + "/orders",
                           .service = name,
                           .visible_from = visibility::kOutside,
                           .at_most_once = true});
  }
  return made;
}

rc::Gen<preset> ArbitraryPreset() {
  return rc::gen::exec([] {
    preset made = {
        .name = *rc::gen::element<std::string>("ordinary", "peak-2", "0.m_x"),
        .description = *rc::gen::element<std::string>(
            "", "plain", "\xE7\x81\xAB \"quoted\"\n\t\\ end"),
        .data_centres = {"fukuoka", "kumamoto"},
        .moves = {.max_unproven_percent =
                      static_cast<double>(*rc::gen::inRange(1, 5001)) / 100,
                  .bake = std::chrono::seconds(*rc::gen::inRange(0, 86'401))}};
    const int services = *rc::gen::inRange(1, 8);
    for (int i = 0; i < services; ++i) {
      made.services.push_back(ArbitraryService(i));
    }
    const int routes = *rc::gen::inRange(0, 8);
    for (int i = 0; i < routes; ++i) {
      const int owner = *rc::gen::inRange(0, services);
      made.routes.push_back(ArbitraryRoute(i, made.services[owner].name));
    }
    return made;
  });
}

}  // namespace fireflyspar::config
