#!/usr/bin/env bash
# Simulates days of load and faults with varying seeds on a site of the users'
# bench. For each day on which a rule is broken, it keeps the name of the rule that
# was broken first and the logs of all instances.
#
# usage: scripts/hunt.sh BENCH SITE-FILE DAYS
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -eq 3 ] || { echo "usage: scripts/hunt.sh BENCH SITE-FILE DAYS" >&2; exit 2; }
bench=$1 site=$2 days=$3
folder=out/hunt-$(basename "$site" .toml)-$(git rev-parse --short HEAD)
mkdir -p "$folder"
"$bench" hunt "$site" --days "$days" --jobs 3 --why "hunt of $days days" >"$folder/hunt.txt" 2>&1 || true
{ grep -E "BROKEN" "$folder/hunt.txt" || true; } | while read -r name rest; do
	seed=$(sed -n 's/^--seed \([0-9]*\).*/\1/p' <<<"$rest")
	rule=$(sed -n 's/.*BROKEN: \([A-Z]*\).*/\1/p' <<<"$rest")
	"$bench" replay "$site" "$name${seed:+ --seed $seed}" --log all --why "logs of a day that broke a rule" >"$folder/$rule-$name-$seed.txt" 2>&1 || true
	echo "$rule $name $seed"
done | sort | tee "$folder/broken.txt"
echo "$(wc -l <"$folder/broken.txt") days broke a rule; see $folder"
