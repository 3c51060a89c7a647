#!/bin/sh
# Installs libraries and the packages of the entry VM into target/deps.
set -eu
deps=target/deps
if [ ! -f "$deps/.installed" ] ||
    [ -n "$(find deploy/requirements.txt constraints.txt -newer "$deps/.installed")" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" \
        --constraint constraints.txt --requirement deploy/requirements.txt
    touch "$deps/.installed"
fi
for source in packages/guavabarrow-core packages/guavabarrow-daemon platform; do
    for package in "$source"/src/*; do
        rm -rf "$deps/${package##*/}"
        cp -R "$package" "$deps/"
    done
done
# VMs see the tree read-only, so a process could not keep what it compiles at its start.
python3 -m compileall -q "$deps"/guavabarrow_*
