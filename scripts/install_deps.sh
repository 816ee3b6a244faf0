#!/usr/bin/env bash
# Installs everything that the build, the tests and the reports need, by apt only.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config
  clang-format clang-tidy
  libpistache-dev libcurl4-openssl-dev libssl-dev libcbor-dev
  libboost-log-dev libboost-dev libtomlplusplus-dev nlohmann-json3-dev
  prometheus-cpp-dev libxxhash-dev libsodium-dev libpcg-cpp-dev
  libgtest-dev librapidcheck-dev spin
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

run() { if [ "$(id -u)" -eq 0 ]; then "$@"; else sudo "$@"; fi; }
export DEBIAN_FRONTEND=noninteractive
run apt-get update -q
run apt-get install -y -q --no-install-recommends "${missing[@]}"
