#!/bin/sh
# Builds the stand-ins and the cases' programs, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
flags="$(pkg-config --cflags glib-2.0 libcbor) -D_GNU_SOURCE -O1 -g -Wall -Wextra -Isrc -Ireview/lab"
libs="target/libpumicemount.a $(pkg-config --libs glib-2.0 libcbor) -lev -lhttp_parser -lpthread -lm"
mkdir -p target/review
for case in review/[0-9]*; do
    [ -f "$case/case.c" ] || continue
    # shellcheck disable=SC2086
    cc $flags -o "target/review/case-$(basename "$case")" "$case/case.c" review/lab/lab.c $libs
done
