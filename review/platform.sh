# A sidecar on the platform; sourced behind lib.sh. The case sets ZONE and MODEL, those of its servers.

# Writes the configuration of a sidecar with these settings; the targets are entries `UID=ENDPOINT`.
write_config() { # FILE SETTINGS_FILE LISTEN DISCOVERY TARGETS...
    config=$1 settings=$2 listen=$3 discovery=$4
    shift 4
    known=""
    for target in "$@"; do
        entry="{\"uid\":\"${target%%=*}\",\"endpoint\":\"${target#*=}\",\"az\":\"$ZONE\",\"model\":\"$MODEL\",\"pod_group\":0,\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}"
        known="$known${known:+,}$entry"
    done
    cat >"$config" <<END
{"name":"n0","listen":"$listen","discovery":"$discovery","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":128,"sockets":1024},
 "known":{"rev":1,"all":true,"targets":[$known]},
 "settings":$(cat "$settings")}
END
}

# Starts a sidecar with this configuration and waits until it is ready.
start_sidecar() { # FILE LISTEN DISCOVERY
    export RELAY_NAME=n0 RELAY_LISTEN=$2 RELAY_DISCOVERY=$3 RELAY_CONFIG=$1
    start_program sidecar ""
    wait_for 10 "$STAND_INS/ready" "$2" || { cat "$TMP/sidecar.log"; not_run "the sidecar is not ready"; }
}
