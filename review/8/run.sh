#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../rig-2/run.sh" "$folder"
