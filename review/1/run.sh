#!/bin/bash
# Two machines of the core are replaced by empty ones, calm time passes, and two more are replaced.
# Only the control processes of the deploy file are started; the platform and the operator are this
# script. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no machine is
# replaced, all else is the same.
cd "$(dirname "$0")" || exit 2
here=$PWD
program=$here/../../target/release/dunlinspring-platform
trouble=${TROUBLE:-1}
record=$here/record.txt
: > "$record" || exit 2
[ -x "$program" ] || { echo "no program: run the build of the deploy file" | tee -a "$record"; exit 2; }
work=$(mktemp -d) || exit 2
# Machines share their ports and differ in their addresses. A random part of the loopback network.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
control_port=8144
declare -A pid
now() { local s; s=$(cut -d' ' -f1 /proc/uptime); echo "$s"; }
started=$(now)
say() { awk -v a="$started" -v b="$(now)" 'BEGIN { printf "%7.2f ", b - a }' >> "$record"; echo "$*" >> "$record"; }
finish() {
    for p in "${pid[@]}"; do kill -KILL "$p" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

zone_of() { case $(($1 % 3)) in 1) echo hall-a ;; 2) echo hall-b ;; *) echo hall-c ;; esac; }

# start NUMBER BOOTSTRAP SEED SEED SEED
start() {
    local n=$1 bootstrap=$2 seeds
    shift 2
    seeds=$(for s in "$@"; do printf '"%s.%s:%s",' "$net" "$s" "$control_port"; done)
    mkdir -p "$work/$n"
    cat > "$work/$n.json" << SETTINGS
{ "choice": {}, "fleet": {}, "agents": false, "platform": {
  "NodeName": "core-$n", "Role": "control", "MachineClass": "core", "Serves": ["control"],
  "Ip": "$net.$n", "Zone": "$(zone_of "$n")", "Region": "suva",
  "Zones": { "hall-a": "suva", "hall-b": "suva", "hall-c": "suva" },
  "Listen": { "Control": "$net.$n:$control_port" }, "InternalPorts": [7380, 7395],
  "Seeds": [${seeds%,}], "Bootstrap": $bootstrap, "InTolerance": true,
  "Limits": { "CpuShare": 0.6, "Cores": 1, "MemoryMb": 256, "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 128 },
  "DataDir": "$work/$n", "Discovery": "registry", "Entry": "vip", "BeatIntervalMs": 1200,
  "Tolerate": { "Machines": 2, "Zones": 0, "Regions": 0 },
  "Bounds": { "SeedLagS": 3, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "GraceS": 8,
    "ConfigApplyMs": 2000, "RecoverS": 12, "FencingRequired": true, "LeaseMs": 3000, "ThawMs": 300 },
  "ConfigMode": "highest" } }
SETTINGS
    DUNLINSPRING_SETTINGS=$work/$n.json "$program" control > "$work/$n.log" 2>&1 &
    pid[$n]=$!
    say "machine $n starts, Bootstrap $bootstrap, seeds $*"
}

# lose NUMBER: the machine is gone for good
lose() {
    kill -KILL "${pid[$1]}" && wait "${pid[$1]}" 2> /dev/null
    unset "pid[$1]"
    say "machine $1 is gone for good"
}

# call NUMBER METHOD PATH BODY: sets status and answer
call() {
    local to=$1 method=$2 path=$3 body=$4 port=${5:-$control_port} all
    all=$(timeout 2 bash -c '
        exec 3<> "/dev/tcp/$1/$2" || exit 1
        printf "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s" \
            "$3" "$4" "$1" "${#5}" "$5" >&3
        cat <&3' _ "$net.$to" "$port" "$method" "$path" "$body" 2> /dev/null)
    status=$(head -1 <<< "$all" | cut -d' ' -f2)
    answer=$(tr -d '\r' <<< "$all" | sed '1,/^$/d')
}

config() {
    echo '{"Version":'"$1"',"Routes":[{"Name":"r1","Host":"ficu95.example","PathPrefix":"/lohu930/","Kind":"safe","TimeoutMs":'"$((800 + $1))"',"TargetLatencyMs":100,"Priority":1,"Service":"wuno96b","MaxAttempts":2}],"Services":[{"Name":"wuno96b","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}'
}

# put VERSION SECONDS: the operator sends a change to one machine after the other until it is taken
put() {
    local until=$((SECONDS + $2))
    while [ $SECONDS -lt $until ]; do
        for n in "${!pid[@]}"; do
            call "$n" PUT /config "$(config "$1")"
            say "PUT version $1 at machine $n: ${status:-no answer}"
            [ "$status" = 200 ] && return 0
        done
        sleep 0.3
    done
    return 1
}

# get VERSION SECONDS: the operator reads until an answer comes; it must be what was acknowledged
get() {
    local until=$((SECONDS + $2))
    while [ $SECONDS -lt $until ]; do
        for n in "${!pid[@]}"; do
            call "$n" GET /config ""
            say "GET at machine $n: ${status:-no answer} ${answer:0:40}"
            if [ "$status" = 200 ]; then
                [ "$answer" = "$(config "$1")" ] && return 0
                say "read back differs from version $1"
                return 1
            fi
        done
        sleep 0.3
    done
    return 1
}

# voters: what each process shows of the core
voters() {
    for n in "${!pid[@]}"; do
        call "$n" GET /metrics "" 9100
        say "machine $n: $(grep -E '^dunlinspring_(voters|leads|votes|term)' <<< "$answer" | tr '\n' ' ')"
    done
}

for n in 1 2 3 4 5; do start $n true 1 2 3; done
put 1 20 || { echo "the first configuration was not taken" | tee -a "$record"; exit 2; }
sleep 4
voters
if [ "$trouble" != 0 ]; then
    lose 4
    lose 5
    sleep 1.7
    start 6 false 1 2 3
    start 7 false 1 2 3
else
    sleep 1.7
fi
sleep 14
voters
put 2 8 && get 2 8 || { echo "version 2 was not taken or read" | tee -a "$record"; exit 2; }
if [ "$trouble" != 0 ]; then
    lose 1
    lose 2
    sleep 1.7
    start 8 false 3 6 7
    start 9 false 3 6 7
else
    sleep 1.7
fi
# RecoverS after the machines are back, and CatchUpS more.
sleep 16
voters
result=0
get 2 15 || result=1
put 3 10 || say "version 3 had no acknowledgement"
voters
case $result in
    0) say "held: the acknowledged configuration was read back" ;;
    1) say "broken: CONFIG: version 2 was acknowledged, and no read of it was answered" ;;
esac
tail -1 "$record"
exit $result
