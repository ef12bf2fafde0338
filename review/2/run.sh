#!/bin/sh
# Two bench nodes: one is full and turns requests away, the other one dies while it runs them.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"

set -- $("$STAND_INS/ports" 3)
CLIENTS=127.0.0.1:$1 FULL=127.0.0.1:$2 WORKS=127.0.0.1:$3
cat >"$TMP/lab.toml" <<END
listen = "$CLIENTS"
[classes.flash-device]
effect = "unsafe"
aim = "1.2s"
deadline = "6s"
[clusters.bench]
endpoints = ["$FULL", "$WORKS"]
never-ran-header = "x-turned-away"
[[routes]]
regex = "/devices/[^/]+/flash"
methods = ["POST"]
class = "flash-device"
cluster = "bench"
END
/bin/sh -c "$RUN check $TMP/lab.toml" >"$TMP/check.log" 2>&1 || { cat "$TMP/check.log"; not_run "the file"; }
start full "$STAND_INS/lab_server" "$FULL" "$RECORD" full full 0
start works "$STAND_INS/lab_server" "$WORKS" "$RECORD" works works 1000
WORKER=$PID
start_program daemon "run --config $TMP/lab.toml"
wait_for 10 grep -q listening "$TMP/daemon.log" || not_run "the daemon does not listen"
sleep 0.2

for round in 1 2 3; do
    start "clients$round" "$STAND_INS/flash_client" "$CLIENTS" "$RECORD" "${round}0" 6
    ORDERS=$PID
    if [ "$TROUBLE" != 0 ]; then
        sleep 0.7
        note "the bench node that works is killed, and started again after 1 s"
        kill -KILL "$WORKER"
        sleep 1
        start works "$STAND_INS/lab_server" "$WORKS" "$RECORD" works works 1000
        WORKER=$PID
    fi
    wait "$ORDERS"
    sleep 4
done
"$STAND_INS/flash_judge" "$RECORD" >"$TMP/verdict"
VERDICT=$?
note "$(cat "$TMP/verdict")"
cat "$TMP/verdict"
exit "$VERDICT"
