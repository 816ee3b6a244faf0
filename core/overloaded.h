// A visitor made of one function for each alternative of a std::variant.
#pragma once

namespace ramppond {

template <class... Visitors>
struct overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace ramppond
