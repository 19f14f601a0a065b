#include "config/route_checks.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "config/json_document.h"

namespace fireflyspar::config {
namespace {

constexpr std::size_t kMaxPathBytes = 500;
constexpr std::size_t kMaxHeaders = 8;
constexpr std::size_t kMaxMethods = 8;
constexpr std::size_t kMaxHeaderValueBytes = 500;

bool IsPrintable(char c) { return c > ' ' && c < '\x7f'; }

// Returns whether `c` may occur in a header name in lower case (a "token" in
// RFC 9110).
bool IsHeaderNameCharacter(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
         kOthers.find(c) != std::string_view::npos;
}

// Returns whether `path` is a valid path prefix: "/" for all paths, or segments
// as in "/a/b". Escapes and dot segments are invalid, since they would make it
// ambiguous which paths match.
bool IsPathPrefix(std::string_view path) {
  if (path == "/") return true;
  if (path.size() > kMaxPathBytes || !path.starts_with('/')) return false;
  const bool plain = std::ranges::all_of(path, [](char c) {
    return IsPrintable(c) && c != '?' && c != '#' && c != '%';
  });
  if (!plain) return false;
  for (std::size_t start = 1; start <= path.size();) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    const std::string_view segment = path.substr(start, end - start);
    if (segment.empty() || segment == "." || segment == "..") return false;
    start = end + 1;
  }
  return true;
}

bool IsMethod(std::string_view text) {
  constexpr std::size_t kMaxMethodBytes = 20;
  return !text.empty() && text.size() <= kMaxMethodBytes &&
         std::ranges::all_of(text, [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsHeaderName(std::string_view text) {
  constexpr std::size_t kMaxHeaderNameBytes = 100;
  return !text.empty() && text.size() <= kMaxHeaderNameBytes &&
         std::ranges::all_of(text, IsHeaderNameCharacter);
}

bool IsHeaderValue(std::string_view text) {
  return text.size() <= kMaxHeaderValueBytes &&
         std::ranges::all_of(text,
                             [](char c) { return IsPrintable(c) || c == ' '; });
}

void CheckMethods(const route& value, const std::string& at,
                  validation_errors& out) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < value.methods.size(); ++i) {
    const std::string& method = value.methods[i];
    if (!IsMethod(method) || !seen.insert(method).second) {
      out.push_back({PointerTo(at + "/methods", i), Excerpt(method),
                     "a method in upper case, each only once"});
    }
  }
  if (value.methods.size() > kMaxMethods) {
    out.push_back({at + "/methods", std::to_string(value.methods.size()),
                   "at most " + std::to_string(kMaxMethods) + " methods"});
  }
}

void CheckHeaders(const route& value, const std::string& at,
                  validation_errors& out) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < value.headers.size(); ++i) {
    const header_match& header = value.headers[i];
    const std::string header_at = PointerTo(at + "/headers", i);
    if (!IsHeaderName(header.name) || !seen.insert(header.name).second) {
      out.push_back({header_at + "/name", Excerpt(header.name),
                     "a header name in lower case, each only once"});
    }
    if (!IsHeaderValue(header.value)) {
      out.push_back({header_at + "/value", Excerpt(header.value),
                     "printable ASCII of at most " +
                         std::to_string(kMaxHeaderValueBytes) + " bytes"});
    }
  }
  if (value.headers.size() > kMaxHeaders) {
    out.push_back({at + "/headers", std::to_string(value.headers.size()),
                   "at most " + std::to_string(kMaxHeaders) + " headers"});
  }
}

// Returns whether `wide` matches every method that `narrow` matches.
bool CoversMethods(const route& wide, const route& narrow) {
  if (wide.methods.empty()) return true;
  if (narrow.methods.empty()) return false;
  return std::ranges::all_of(narrow.methods, [&](const std::string& method) {
    return std::ranges::find(wide.methods, method) != wide.methods.end();
  });
}

// Returns whether every header that `wide` requires is also required by
// `narrow`.
bool CoversHeaders(const route& wide, const route& narrow) {
  return std::ranges::all_of(wide.headers, [&](const header_match& header) {
    return std::ranges::find(narrow.headers, header) != narrow.headers.end();
  });
}

bool SharesMethod(const route& left, const route& right) {
  if (left.methods.empty() || right.methods.empty()) return true;
  return std::ranges::any_of(left.methods, [&](const std::string& method) {
    return std::ranges::find(right.methods, method) != right.methods.end();
  });
}

using path_index = std::map<std::string_view, std::vector<std::size_t>>;

// Calls `visit` for each route whose path prefix covers `path`. Only a few
// prefixes have to be looked up: "/a/b" is covered by "/", "/a" and "/a/b".
void ForEachCovering(const path_index& by_path, std::string_view path,
                     const std::function<void(std::size_t)>& visit) {
  const auto visit_path = [&](std::string_view prefix) {
    const auto found = by_path.find(prefix);
    if (found != by_path.end()) std::ranges::for_each(found->second, visit);
  };
  visit_path("/");
  for (std::size_t end = 1; end < path.size();) {
    end = std::min(path.find('/', end + 1), path.size());
    visit_path(path.substr(0, end));
  }
}

// Returns whether `inside` is tried before `outside` and takes every call on
// the path of `inside` that `outside` would also match.
bool Shadows(const route& inside, const route& outside, bool comes_first) {
  return comes_first && CoversMethods(inside, outside) &&
         CoversHeaders(inside, outside);
}

std::string Quoted(const route& value) { return "'" + value.name + "'"; }

// Adds an error for each earlier route that takes all calls of the route at
// `index`.
void CheckReachable(std::span<const route> routes, const path_index& by_path,
                    std::size_t index, validation_errors& out) {
  const route& later = routes[index];
  ForEachCovering(by_path, later.path_prefix, [&](std::size_t other) {
    const route& earlier = routes[other];
    if (other < index && CoversMethods(earlier, later) &&
        CoversHeaders(earlier, later)) {
      out.push_back({PointerTo("/routes", index), Excerpt(later.name),
                     "a route that can be taken; the earlier " +
                         Quoted(earlier) + " takes all its calls"});
    }
  });
}

// Adds an error for each outside route that exposes the path of the inside-only
// route at `index`.
void CheckNotExposed(std::span<const route> routes, const path_index& by_path,
                     std::size_t index, validation_errors& out) {
  const route& inside = routes[index];
  if (inside.visible_from != visibility::kInside) return;
  ForEachCovering(by_path, inside.path_prefix, [&](std::size_t other) {
    const route& outside = routes[other];
    if (outside.visible_from != visibility::kOutside ||
        outside.service != inside.service || !SharesMethod(inside, outside)) {
      return;
    }
    if (!Shadows(inside, outside, index < other)) {
      out.push_back({PointerTo("/routes", index), Excerpt(inside.name),
                     "an inside-only path that the outside route " +
                         Quoted(outside) +
                         " leaves closed: put this route first, for at least "
                         "the same methods and without further headers"});
    }
  });
}

}  // namespace

void CheckMatch(const route& value, const std::string& at,
                validation_errors& out) {
  if (!IsPathPrefix(value.path_prefix)) {
    out.push_back({at + "/path_prefix", Excerpt(value.path_prefix),
                   "a path of at most " + std::to_string(kMaxPathBytes) +
                       " bytes as in \"/a/b\": it begins with '/', does not "
                       "end with it and has no empty or dot segment, '%', '?' "
                       "or '#'"});
  }
  CheckMethods(value, at, out);
  CheckHeaders(value, at, out);
}

void CheckOrder(std::span<const route> routes, validation_errors& out) {
  path_index by_path;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    by_path[routes[i].path_prefix].push_back(i);
  }
  for (std::size_t i = 0; i < routes.size(); ++i) {
    CheckReachable(routes, by_path, i, out);
    CheckNotExposed(routes, by_path, i, out);
  }
}

}  // namespace fireflyspar::config
