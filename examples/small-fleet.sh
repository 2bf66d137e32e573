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
  --control-data="$work/data" --control-member-id=1 --operator-address=127.0.0.1:7502 --operator-token-file="$work/token" & pids+=($!)
"$work/cowslipd" --roles=agent --host=agent-1 --internal-address=127.0.0.1:7503 "${common[@]}" \
  --agent-target=assist-01 --agent-target-url=http://127.0.0.1:7510 & pids+=($!)
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

# The model is loaded before anything is measured.
until curl -fs -o /dev/null http://127.0.0.1:7505/v1/completions -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
  -d '{"model": "vaalkop-m005", "prompt": "warm", "max_tokens": 1}'; do read -rt 0.2 <> <(:) || true; done
load=(--model=vaalkop-m005 --mix=stream=1 "--rate=$rate" --duration=10s --max-tokens=32 --seed=7)
for round in 1 2; do
  echo "== directly to the target, round $round"
  "$work/cowslipctl" load --direct --entry=127.0.0.1:7510 "${load[@]}"
  echo "== through entry host and agent, round $round"
  "$work/cowslipctl" load --entry=127.0.0.1:7505 "--key=workshops=$key" "${load[@]}"
done
