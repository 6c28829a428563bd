#!/usr/bin/env bash
# Runs the whole system on loopback: stand-ins, 3 balancers and 8 agents as
# separate processes. Prints what it does and what it measured.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/ ./cmd/... ./standin/cmd/...
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

declare -A pid_of
start() { # name, command...
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

bin/standin layout "$dir" >"$dir/layout"
field() { awk -v kind="$1" -v name="$2" -v n="$3" '$1==kind && $2==name {print $n}' "$dir/layout"; }
platform=$(awk '$1=="platform" {print $2}' "$dir/layout")
start platform bin/standin platform --listen "$platform" --limit 2000
start fabric bin/standin fabric "$dir/fabric.json"
while read -r name address; do
  start "server-$name" bin/standin backend --name "$name" --listen "$address"
done < <(awk '$1=="backend" {print $2, $3}' "$dir/layout")
publish() { bin/standin publish --platform "$platform" "$1" "$2"; }
until publish vms "$dir/vms.json" 2>/dev/null; do sleep 0.05; done
publish tickets/orders "$dir/ticket-orders.json"
publish tickets/drawings "$dir/ticket-drawings.json"
for name in $(awk '$1=="balancer" || $1=="backend" {print $2}' "$dir/layout"); do
  start "$name" bin/cactustrayd "$dir/$name.json"
done

orders=https://$(field service orders 3)
drawings=https://$(field service drawings 3)
CACTUSTRAY_NODES=$(awk '$1=="balancer" {print $3; exit}' "$dir/layout")
export CACTUSTRAY_NODES
export CACTUSTRAY_CERT=$dir/operator-operator.pem
export CACTUSTRAY_KEY=$dir/operator-operator.key
export CACTUSTRAY_CA=$dir/ca.pem
export CACTUSTRAY_PUBLISH=http://$platform/v1/kv/cactustray/tickets/{service}
request() { bin/standin request --ca "$dir/ca.pem" "$@"; }

echo "== 3 balancers, 2 services with 4 backend servers each, 4 failure domains"
until request --timeout 1s "$orders/drawing?work=1" 2>/dev/null | grep -q ^200; do sleep 0.1; done
until request --timeout 1s "$drawings/drawing?work=1" 2>/dev/null | grep -q ^200; do sleep 0.1; done
echo "== a drawing, and a confirmation"
request "$drawings/drawing?work=20"
request --method POST --key truck-17 "$orders/confirm?work=20"

echo "== 20 feeds; meanwhile a ticket, then a balancer and a backend server stop as planned"
bin/standin feed --ca "$dir/ca.pem" --count 20 --lines 250 "$orders" &
feeds=$!
sleep 1
sed 's/"number": 1,/"number": 2,/; s/"slots": 4,/"slots": 3,/' "$dir/ticket-orders.json" >"$dir/ticket-2.json"
bin/cactustray ticket submit "$dir/ticket-2.json"
bin/cactustray status
bin/cactustray flows
busiest=$(bin/cactustray flows --service orders | awk '$3=="orders" && $4>most {most=$4; name=$1} END {print name, most}')
kill -TERM "${pid_of[entry-1]}"
kill -TERM "${pid_of[${busiest% *}]}"
echo "stopping balancer entry-1, and the agent of ${busiest% *} with ${busiest#* } feeds open"
wait "$feeds"
echo "== requests after the stops"
answered=0
for _ in $(seq 10); do
  if request --timeout 3s "$orders/drawing?work=5" | grep -q ^200; then answered=$((answered + 1)); fi
done
echo "answered: $answered of 10"

echo "== packet roles: 20 feeds; meanwhile both balancers and an agent are restarted, one agent is killed"
mkdir "$dir/packets"
start packets bin/standin packets "$dir/packets"
until grep -q ^started "$dir/packets.log"; do sleep 0.05; done
run_packets() { start "$1" bin/cactustrayd "$dir/packets/$1.json"; }
for name in $(awk '$1=="daemon" {print $2}' "$dir/packets.log"); do run_packets "$name"; done
restart() { # name, signal
  kill "-$2" "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null || true
  run_packets "$1"
  sleep 1
}
sleep 2
restart packet-balancer-10 TERM
restart packet-balancer-11 TERM
restart packet-agent-50 TERM
restart packet-agent-51 KILL
touch "$dir/packets/done"
wait "${pid_of[packets]}"
tail -n 1 "$dir/packets.log"
echo "== what the logs tell of one request"
cat "$dir"/packet-*.log >"$dir/all.log"
bin/cactustray explain feed-7-3 "$dir/all.log"
