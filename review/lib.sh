# What the scripts of the cases share; sourced with HERE set to the case's folder.

cd "$HERE/../.." || exit 2
STAND_INS=target/review/release
# The program as the deploy file starts it: `exec target/release/mintshelf`.
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
TROUBLE=${TROUBLE:-1}
RECORD=$HERE/record.txt
TMP=$(mktemp -d) || exit 2
STARTED=""

# Starts a command in the background, its log in the temporary folder; sets PID.
start() { # NAME COMMAND...
    log=$TMP/$1.log
    shift
    "$@" >>"$log" 2>&1 &
    PID=$!
    STARTED="$STARTED $PID"
}

# Starts the project's program with these arguments.
start_program() { # NAME ARGUMENTS
    start "$1" /bin/sh -c "$RUN $2"
}

note() { "$STAND_INS/note" "$RECORD" "$@"; }

# Ends all that was started; scripts that know of further processes write their ids to *.pid files.
finish() {
    for file in "$TMP"/*.pid; do [ -f "$file" ] && STARTED="$STARTED $(cat "$file")"; done
    for pid in $STARTED; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
    sleep 0.5
    for pid in $STARTED; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM

not_run() { note "not run: $*"; echo "not run: $*"; exit 2; }

# Waits up to so many seconds until a command succeeds.
wait_for() { # SECONDS COMMAND...
    tries=$(($1 * 10))
    shift
    while [ "$tries" -gt 0 ]; do
        "$@" >/dev/null 2>&1 && return 0
        tries=$((tries - 1))
        sleep 0.1
    done
    return 1
}

[ -x target/release/mintshelf ] && [ -x "$STAND_INS/note" ] || { echo "not built"; exit 2; }
: >"$RECORD"
note "TROUBLE=$TROUBLE"
