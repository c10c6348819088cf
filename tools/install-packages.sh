#!/usr/bin/env bash
# Installs the build dependencies on Debian 12; does nothing when all are there.
set -euo pipefail
packages=(g++ cmake make pkg-config git clang-format clang-tidy curl
  libcaf-dev libthrift-dev thrift-compiler libboost-dev prometheus-cpp-dev
  libcpp-httplib-dev libssl-dev zlib1g-dev libbrotli-dev libtclap-dev
  libgoogle-glog-dev libinih-dev nlohmann-json3-dev libxxhash-dev
  libsodium-dev libspdlog-dev libcpputest-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive \
  "${as_root[@]}" apt-get install -y -q "${missing[@]}"
