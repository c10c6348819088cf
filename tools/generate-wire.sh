#!/usr/bin/env bash
# Regenerates the committed Thrift code after a change of src/wire/*.thrift.
set -euo pipefail
cd "$(dirname "$0")/../src/wire"
for idl in backend gateway peer; do
  thrift --gen cpp:no_skeleton -out gen "$idl.thrift"
done
