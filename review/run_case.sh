#!/bin/bash
# Runs the case with the given number: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. The stand-ins read TROUBLE: 0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
number=$1
limit=$2 # seconds
for program in bin/cacherouter "bin/review-$number"; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of deploy/balancer.toml and review/build.sh"
		exit 2
	fi
done
work=$(mktemp -d) || exit 2
cleanup() {
	[ -f "$work/pids" ] && while read -r pid; do
		# Only a router of this run: its number may have been given to another process.
		if [ "$(readlink "/proc/$pid/exe")" = "$PWD/bin/cacherouter" ]; then kill -9 "$pid"; fi
	done <"$work/pids" 2>/dev/null
	rm -rf "$work"
}
trap cleanup EXIT
RECORD=review/$number/record.txt WORKDIR=$work timeout -k 2 "$limit" "bin/review-$number"
result=$?
[ $result -le 1 ] || result=2
exit $result
