#!/usr/bin/env bash
# What each mechanism is worth: plays days of a deployment with all of them and without
# each one, and prints the mean worth with, without and by how much that differs.
#
#   bench/ablation.sh FLEETBENCH SITE.toml "DAY..." "SEED..." [JOBS]
#
# A seed of 0 stands for the day's own. Each variant is built in a work tree of its own,
# with "trial.without" set in its settings; processor time is not counted, so that a run
# repeats.
set -euo pipefail
# Without it each work tree would compile everything anew.
export GOFLAGS=-trimpath
bench=$1 site=$2 days=$3 seeds=$4 jobs=${5:-4}
top=$(git rev-parse --show-toplevel)
work=$(mktemp -d)
mechanisms="nothing nested routes objective timely_returns questions notice returns busy locality"
trap 'for m in $mechanisms; do git -C "$top" worktree remove --force "$work/$m" 2>/dev/null || true; done; rm -rf "$work"' EXIT

for m in $mechanisms; do
  git -C "$top" worktree add -q --detach "$work/$m" HEAD
  sed -i "s/^    \"log\": {/    \"trial\": { \"without\": \"$m\" },\n&/" "$work/$m/deploy/daemon.jsonc"
  (cd "$work/$m" && "$bench" build >/dev/null)
done

play() {
  local m=$1 day=$2 seed=$3 args=()
  [ "$seed" = 0 ] || args=(--seed "$seed")
  cd "$work/$m"
  "$bench" run "$site" "$day" --no-cpu "${args[@]}" --why "Ablation: without $m" >"$work/$m-$day-$seed.txt" 2>&1
}
export -f play
export bench site work
for m in $mechanisms; do for d in $days; do for s in $seeds; do echo "$m $d $s"; done; done; done |
  xargs -P "$jobs" -L 1 bash -c 'play "$0" "$1" "$2"' || true

# The worth is the fourth column of a day's row.
worths() { for d in $days; do for s in $seeds; do awk -v d="$d" '$1==d && $4+0==$4 {print $4; exit}' "$work/$1-$d-$s.txt"; done; done; }
mean() { awk '{n++; t+=$1} END {printf "%.3f", t/n}'; }
with=$(worths nothing | mean)
printf '%-16s %8s %8s   %s\n' without worth change "by day and seed"
for m in $mechanisms; do
  w=$(worths "$m" | mean)
  printf '%-16s %8s %+8.3f   %s\n' "$m" "$w" "$(echo "$w - $with" | bc -l)" "$(worths "$m" | tr '\n' ' ')"
done
grep -l "rules broken" "$work"/*.txt | xargs -r -n 1 basename | sed 's/^/rules broken: /' || true
for m in $mechanisms; do cp -rn "$work/$m/journal/." "$top/journal/"; done
