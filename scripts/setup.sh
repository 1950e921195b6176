#!/usr/bin/env bash
# Installs with apt what the build, the tests and the checks need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev libboost-program-options1.81-dev
  libboost-context1.81-dev libboost-url1.81-dev
  python3
  liblog4cplus-dev libnng-dev libprotobuf-dev libssl-dev libxxhash-dev
  libhowardhinnant-date-dev tzdata
  libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
