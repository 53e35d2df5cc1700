#!/bin/sh
# Builds the stand-ins and programs of the cases 4 to 8 into target/review-2, after the build of the
# deploy file. Needs no more than that build: gcc, pkg-config and the libraries of its packages.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Itarget/gen -Ireview/lab-2"
packages="glib-2.0 libprotobuf-c libcbor libcyaml libarchive"
# shellcheck disable=SC2046,SC2086
set -- $(pkg-config --cflags $packages)
objects=""
for source in review/lab-2/lab.c src/testing/event_loop.c src/testing/fake_*.c src/testing/history.c \
  src/testing/relay.c src/testing/socket_owner.c; do
  object="$out/$(basename "$source" .c).o"
  # shellcheck disable=SC2086
  gcc $flags "$@" -c "$source" -o "$object"
  objects="$objects $object"
done
for source in review/[4-8]/play.c; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2046,SC2086
  gcc $flags "$@" "$source" $objects -o "$out/case-$number" target/libpumicemount.a \
    $(pkg-config --libs $packages) -lev -lhttp_parser -lbabeltrace-ctf -lbabeltrace -lpthread -lm -lstdc++
done
echo "built $out"
