#!/usr/bin/env bash
# Installs the libraries and copies the workspace's packages into target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
stamp=target/deps/.installed
if ! [ "$stamp" -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        --requirement deploy/requirements.txt
    touch "$stamp"
fi
# copied on each build, so that changes of the sources take effect at the next start
for package in packages/wire/src/teaselledge_wire packages/fleet/src/teaselledge_fleet \
    platform/src/teaselledge_platform; do
    rm -rf "target/deps/$(basename "$package")"
    cp -r "$package" target/deps/
done
python3 -m compileall -q target/deps
