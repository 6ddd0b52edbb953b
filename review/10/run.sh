#!/bin/bash
# Two entry nodes, a target that spoils one answer in 50. TROUBLE=0 leaves the spoiling out.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=${ROOT:-$(cd "$here/../.." && pwd)}
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -1)
jar=target/sycamorehill-0.1.0.jar
[ -n "$run" ] && [ -f "$jar" ] || { echo "build first, with the build line of deploy/system.toml"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
javac -cp "$jar" -d "$folder/classes" "$here"/*.java || exit 2
timeout -k 5 115 java -cp "$folder/classes:$jar" BlanksCase "$run" "$folder" "$here/record.txt" "${TROUBLE:-1}"
result=$?
[ $result -gt 2 ] && result=2
exit $result
