#!/bin/sh
# Runs two data centres of stand-ins and three instances of turmericd, applies
# the example trees and shows what a caller and an operator see.
# Usage: examples/run.sh BUILD_DIRECTORY
set -u
build=${1:-build/plain}
here=$(dirname "$0")
base=${BASE_PORT:-18400}
work=$(mktemp -d)
pids=""
entries=""

port() { echo "127.0.0.1:$((base + $1))"; }

stop_all() {
    for pid in $pids; do kill "$pid" 2>/dev/null; done
    for pid in $pids; do wait "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap 'stop_all' EXIT
trap 'exit 1' INT TERM

start() {
    log=$1
    shift
    "$@" 2>"$work/$log.log" &
    pids="$! $pids"
}

fail() {
    echo "run: $1" >&2
    cat "$work"/*.out >&2 2>/dev/null
    tail -n 20 "$work"/*.log >&2
    exit 1
}

# Waits for a command to succeed, at most 15 s.
await() {
    what=$1
    shift
    tries=0
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        [ "$tries" -gt 150 ] && fail "$what did not come up"
        sleep 0.1
    done
}

step() { printf '\n== %s\n' "$1"; }

engine() {
    start "$1" "$build/standin" engine --name "$1" --address "$(port "$2")" \
        --control "$(port "$3")" --memory-mb 8192 --load-ms 400 --token-ms 5 \
        --store "$(port 4)"
}

target() {
    printf '{"name": "%s", "kind": "%s", "service": "%s", "data_centre": "%s", "address": "%s", "state": "live"}' \
        "$1" "$2" "$3" "$4" "$(port "$5")"
}

entry() {
    printf '{"name": "%s", "kind": "entry", "data_centre": "%s", "address": "%s", "peer_address": "%s", "state": "live"}' \
        "$1" "$2" "$(port "$3")" "$(port "$4")"
}

settings() {
    cat >"$work/$1.json" <<END
{
  // entry instance $1
  "name": "$1",
  "data_centre": "$2",
  "address": "$(port "$3")",
  "peer_address": "$(port "$4")",
  "desk_address": "$(port "$5")",
  "token_file": "$work/token",
  "key_value_url": "http://$(port 1)",
  "list_url": "http://$(port 2)",
  "keep_s": 1
}
END
    start "$1" "$build/turmericd" "$work/$1.json"
    entries="$entries $!"
}

printf 'example-token' >"$work/token"
chmod 600 "$work/token"
{
    printf '[\n'
    target oven-1 engine oven-mind kovalam 10; printf ',\n'
    target oven-2 engine oven-mind kovalam 11; printf ',\n'
    target assist-1 engine bakeassist pos-a 12; printf ',\n'
    target order-1 plain order-desk kovalam 13; printf ',\n'
    target order-2 plain order-desk kovalam 14; printf ',\n'
    target book-1 plain ovenbook pos-a 15; printf ',\n'
    entry entry-1 kovalam 30 31; printf ',\n'
    entry entry-2 kovalam 33 34; printf ',\n'
    entry entry-3 pos-a 36 37
    printf '\n]\n'
} >"$work/list.json"

start kv "$build/standin" kv --address "$(port 1)" --control "$(port 5)"
start list "$build/standin" list --address "$(port 2)" --file "$work/list.json"
start store "$build/standin" store --address "$(port 4)"
engine oven-1 10 20
engine oven-2 11 21
engine assist-1 12 22
for plain in order-1:13:23 order-2:14:24 book-1:15:25; do
    name=${plain%%:*}
    rest=${plain#*:}
    start "$name" "$build/standin" plain --name "$name" \
        --address "$(port "${rest%%:*}")" --control "$(port "${rest##*:}")"
done
await "key-value stand-in" curl -sf "http://$(port 5)/stats"
settings entry-1 kovalam 30 31 32
settings entry-2 kovalam 33 34 35
settings entry-3 pos-a 36 37 38

export TURMERIC_ADDRESS="$(port 32)" TURMERIC_TOKEN_FILE="$work/token"
ctl="$build/turmericctl"
for n in 30 33 36; do
    await "instance on $(port $n)" curl -sf "http://$(port $n)/healthz"
done

members_alive() {
    "$ctl" status >"$work/status.out" 2>&1
    "$ctl" status 2>/dev/null | grep -c alive | grep -qx 3
}
await "membership of three" members_alive

step "operator: apply the trees of both deployments"
"$ctl" apply "$here/vellayani/tree.json" --wait 10 || fail "apply"
"$ctl" apply "$here/cascadura/tree.json" --wait 10 || fail "apply"
step "operator: one leaf with the node each value comes from"
"$ctl" show --effective /oven-mind/roti-chat || fail "show"

step "caller: which addresses to use"
curl -sS "http://$(port 30)/v1/address?service=oven-mind&data_centre=kovalam"
echo

step "caller: chat on a cold model (streamed)"
curl -sS -N "http://$(port 33)/v1/chat/completions" \
    -H 'Content-Type: application/json' -d '{"model": "roti-chat",
    "stream": true, "max_tokens": 4, "messages": [{"role": "user",
    "content": "how many rotis before the sun is high?"}]}' |
    tee "$work/chat.out"
grep -q '^data: \[DONE\]' "$work/chat.out" || fail "the chat is not whole"

step "caller: a catering plan, whole answer, through another instance"
curl -sS "http://$(port 36)/v1/chat/completions" \
    -H 'Content-Type: application/json' -d '{"model": "catering-plan",
    "max_tokens": 8, "messages": [{"role": "user",
    "content": "plan appam for 300 guests"}]}' | tee "$work/plan.out"
echo
grep -q 't8' "$work/plan.out" || fail "the plan is not whole"

step "caller: a wedding order, sent twice through two instances"
key=wedding-$$-$(date +%s)
for n in 30 36; do
    curl -sS "http://$(port $n)/v1/services/order-desk/orders" \
        -H "Idempotency-Key: $key" -H 'Content-Type: application/json' \
        -d '{"appam": 300}' -w ' [HTTP %{http_code}]\n'
done | tee "$work/order.out"
[ "$(grep -c '"confirmed"' "$work/order.out")" = 1 ] ||
    fail "the order was not confirmed exactly once"
grep -q duplicate_request "$work/order.out" || fail "no duplicate refusal"

step "caller: a stock lookup, which may be repeated"
curl -sS "http://$(port 30)/v1/services/order-desk/stock?item=flour"
echo

step "caller: an order without a key, and an unknown model, are refused"
curl -sS "http://$(port 30)/v1/services/order-desk/orders" -d '{}'
echo
curl -sS "http://$(port 30)/v1/chat/completions" \
    -d '{"model": "no-such-model", "messages": []}'
echo

step "operator: an edit that is accepted, in force on all instances"
"$ctl" set /oven-mind/roti-chat replicas_max=1 --wait 10 || fail "set"
step "operator: an edit that is refused"
if "$ctl" set /oven-mind/roti-chat replicas_max=many; then
    fail "a wrong edit was accepted"
fi

step "operator: status and the counters that are not zero"
"$ctl" status
"$ctl" counters | grep -v ' 0$' | head -n 40

step "every instance stops gracefully"
# shellcheck disable=SC2086
kill $entries
for pid in $entries; do
    wait "$pid" || fail "an instance ended with code $?"
done
echo "all instances ended with code 0"
