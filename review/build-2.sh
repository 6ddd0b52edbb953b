#!/bin/bash
# Builds the stand-ins of review/6 to review/10 into target/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -cp target/sycamorehill-0.1.0.jar -d target/review-2 review/stand-ins-2/*.java
