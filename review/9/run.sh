#!/bin/bash
# Exits with 1 if orders have no answer half a second after their route's timeout, with 0 if they have, and with 2
# if the case could not run. The disruption is a run of blanks in a header of a target's answer; TROUBLE=0: none.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -1)
[ -n "$run" ] && [ -f target/review-2/BlanksCase.class ] || { echo "build first: the deploy file's line, review/build-2.sh"; exit 2; }
settings=$(mktemp -d) || exit 2
trap 'rm -rf "$settings"' EXIT
timeout -k 5 115 java -cp target/review-2:target/sycamorehill-0.1.0.jar BlanksCase "$run" "$settings" "$folder/record.txt" "${TROUBLE:-1}"
result=$?
[ $result -le 2 ] || result=2
exit $result
