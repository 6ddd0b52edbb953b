#!/bin/bash
# Exits with 1 if an engine takes a join of another group while the head of its group is open, with 0 if
# none does, and with 2 if the case could not run. TROUBLE=0: no order is late, and no process is killed.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
exec timeout 110 java -cp target/review-2:target/sycamorehill-0.1.0.jar LateOrdersTrial "$folder"
