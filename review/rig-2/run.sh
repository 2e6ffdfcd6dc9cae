#!/bin/sh
# Runs the case in the folder that is the first argument. Exit code 1: the rule was broken; 0: it held; 2: the case
# could not run. TROUBLE=0 leaves out the disruption. The proxy is started by the `run` line of the deploy file.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=build-review-2/case$(basename "$folder")
RUN_LINE=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -x "$program" ] && [ -n "$RUN_LINE" ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
export RUN_LINE CASE_TMP
"$program" "$folder"
result=$?
rm -rf "$CASE_TMP"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
