#!/usr/bin/env bash
# Starts a small fleet of separate processes on loopback: one control member, one
# entry host, one agent and its stand-in target. Then either stays until Ctrl-C,
# or measures what the path costs against calling the target directly.
#
# Usage: examples/small-fleet.sh [run | overhead] [requests a second]
set -euo pipefail
mode=${1:-run}
rate=${2:-100}
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=()
stop() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT

(cd "$root/server" && go build -o "$work/cowslipd" ./cmd/cowslipd)
(cd "$root/ctl" && go build -o "$work/cowslipctl" ./cmd/cowslipctl)
(umask 077; head -c 24 /dev/urandom | base64 > "$work/secret"; head -c 24 /dev/urandom | base64 > "$work/token")

common=(--failure-domain=gauteng-a "--secret-file=$work/secret" --control-address=127.0.0.1:7501 --log-level=warn)
"$work/cowslipctl" standin --address=127.0.0.1:7510 --name=assist-01 --token-time=2ms --prompt-time=5ms --checks-fencing 2>"$work/standin.log" & pids+=($!)
"$work/cowslipd" --roles=control --host=control-1 --internal-address=127.0.0.1:7501 "${common[@]}" \
  --control-data="$work/data" --control-member-id=1 --operator-address=127.0.0.1:7502 --operator-token-file="$work/token" --health-address=127.0.0.1:7507 & pids+=($!)
"$work/cowslipd" --roles=agent --host=agent-1 --internal-address=127.0.0.1:7503 "${common[@]}" \
  --agent-target=assist-01 --agent-target-url=http://127.0.0.1:7510 --health-address=127.0.0.1:7508 & pids+=($!)
"$work/cowslipd" --roles=entry --host=entry-1 --internal-address=127.0.0.1:7504 "${common[@]}" \
  --health-address=127.0.0.1:7506 --entry-address=127.0.0.1:7505 & pids+=($!)

ctl=("$work/cowslipctl" --control=127.0.0.1:7502 "--token-file=$work/token")
until "${ctl[@]}" status >/dev/null 2>&1; do read -rt 0.2 <> <(:) || true; done
"${ctl[@]}" questionnaire submit --replaces=0 --submission-id=first "$root/examples/vaalkop.yaml"
key=$("${ctl[@]}" key give workshops | awk 'NR == 2 { print $3 }')
until curl -fs http://127.0.0.1:7506/readyz >/dev/null; do read -rt 0.2 <> <(:) || true; done

if [ "$mode" = run ]; then
  echo "entry host on 127.0.0.1:7505, key $key; operators on 127.0.0.1:7502, token in $work/token"
  wait
fi

pause() { read -rt "$1" <> <(:) || true; }
# metric PORT NAME prints one metric of the process with that health port.
metric() { curl -fs "http://127.0.0.1:$1/metrics" | awk -v n="$2" '$1 == n { printf "%.6f", $2 }'; }
cpu() { metric "$1" process_cpu_seconds_total; }
rss() { metric "$1" process_resident_memory_bytes; }

if [ "$mode" = followers ]; then
  started=0
  for n in 10 40 80; do
    while [ "$started" -lt "$n" ]; do
      started=$((started + 1))
      "$work/cowslipd" --roles=entry --host="idle-$started" --internal-address=127.0.0.1:$((8000 + started)) "${common[@]}" \
        --health-address=127.0.0.1:$((8200 + started)) --entry-address=127.0.0.1:$((8400 + started)) & pids+=($!)
    done
    pause 5
    c=$(cpu 7507); e=$(cpu 8201); pause 20
    awk -v n="$n" -v c0="$c" -v c1="$(cpu 7507)" -v e0="$e" -v e1="$(cpu 8201)" -v r="$(rss 7507)" -v er="$(rss 8201)" 'BEGIN {
      printf "%d idle entry hosts: control %.3f %% of a core, %.1f MB; one idle entry host %.3f %% of a core, %.1f MB\n",
        n, (c1 - c0) / 20 * 100, r / 1e6, (e1 - e0) / 20 * 100, er / 1e6 }'
  done
  exit 0
fi

# The model is loaded before anything is measured.
until curl -fs -o /dev/null http://127.0.0.1:7505/v1/completions -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
  -d '{"model": "vaalkop-m005", "prompt": "warm", "max_tokens": 1}'; do read -rt 0.2 <> <(:) || true; done
load=(--model=vaalkop-m005 --mix=stream=1 "--rate=$rate" --duration=10s --max-tokens=32 --seed=7)
if [ "$mode" = slopes ]; then
  for r in 50 100 200; do
    e=$(cpu 7506); a=$(cpu 7508); c=$(cpu 7507)
    "$work/cowslipctl" load --entry=127.0.0.1:7505 "--key=workshops=$key" "${load[@]}" "--rate=$r" | tail -1
    awk -v r="$r" -v e0="$e" -v e1="$(cpu 7506)" -v a0="$a" -v a1="$(cpu 7508)" -v c0="$c" -v c1="$(cpu 7507)" \
      -v em="$(rss 7506)" -v am="$(rss 7508)" -v cm="$(rss 7507)" 'BEGIN {
      printf "%d/s, 32 tokens each, 10 s: processor ms a second: entry %.1f, agent %.1f, control %.1f; MB: entry %.0f, agent %.0f, control %.0f\n",
        r, (e1 - e0) * 100, (a1 - a0) * 100, (c1 - c0) * 100, em / 1e6, am / 1e6, cm / 1e6 }'
  done
  exit 0
fi
for round in 1 2; do
  echo "== directly to the target, round $round"
  "$work/cowslipctl" load --direct --entry=127.0.0.1:7510 "${load[@]}"
  echo "== through entry host and agent, round $round"
  "$work/cowslipctl" load --entry=127.0.0.1:7505 "--key=workshops=$key" "${load[@]}"
done
