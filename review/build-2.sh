#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/build/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/build
for n in 6 7 8 9 10; do
  [ -f "review/$n/case.cpp" ] || continue
  ${CXX:-g++} -std=c++20 -O1 -pthread -o "review/build/case-$n" "review/$n/case.cpp" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
