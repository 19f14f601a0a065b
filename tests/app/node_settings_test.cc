#include "app/node_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

namespace fireflyspar::tests {
namespace {

// Returns the setting's row in the table of settings in docs/OPERATORS.md.
std::string Row(const base::setting& each) {
  std::string default_text = each.required ? "required" : "none";
  if (!each.default_text.empty()) {
    default_text = "`" + std::string(each.default_text) + "`";
  }
  return "| `--" + std::string(each.name) + "` | `" +
         base::EnvironmentName(each.name) + "` | " + default_text + " | " +
         std::string(each.help) + " |\n";
}

TEST_CASE(
    "docs/OPERATORS.md lists every setting of a node as the program has it") {
  std::ifstream file(std::string(FIREFLYSPAR_SOURCE_DIR) +
                     "/docs/OPERATORS.md");
  const std::string page((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  for (const base::setting& each : app::NodeSettings()) {
    INFO(Row(each));
    CHECK(page.find(Row(each)) != std::string::npos);
  }
}

}  // namespace
}  // namespace fireflyspar::tests
