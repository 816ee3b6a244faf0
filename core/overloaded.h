// Helper for std::visit.
#pragma once

namespace ramppond {

/// Combines several function objects into one visitor with an overload for each alternative of a
/// std::variant.
template <class... Visitors>
struct overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace ramppond
