#!/bin/sh
# Builds the stand-ins of all scripts. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -cp target/sycamorehill-0.1.0.jar -d target/review review/common/*.java $(ls review/[1-5]/*.java 2>/dev/null)
