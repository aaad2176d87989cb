#!/usr/bin/env bash
# Takes one mechanism out at a time, on a scratch copy, and shows that its proof
# fails: prints the mechanism, the test and after how many sound cases it was seen.
# Not part of CI. Usage: tests/mutants.sh [NAME ...]
set -u
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export CARGO_TARGET_DIR="$scratch/target"

mutant() { # name file perl-expression test-target test-name
    local name=$1 file=$2 change=$3 target=$4 test=$5
    [ ${#only[@]} -eq 0 ] || [[ " ${only[*]} " == *" $name "* ]] || return 0
    rm -rf "$scratch/src" "$scratch/tests"
    cp -r Cargo.toml Cargo.lock src tests "$scratch/"
    [ -d benches ] && cp -r benches "$scratch/"
    perl -0pi -e "$change" "$scratch/$file"
    if cmp -s "$file" "$scratch/$file"; then
        echo "$name | NOT APPLIED | $test"
        return
    fi
    local out
    out=$(cd "$scratch" && timeout 500 cargo test --offline --test "$target" -- "$test" 2>&1)
    local code=$?
    local cases reason
    cases=$(grep -oE 'successes: [0-9]+' <<<"$out" | tail -1)
    reason=$(grep -A1 "panicked at" <<<"$out" | grep -v "panicked at\|^--" | tail -1 | cut -c1-90)
    if [ $code -eq 0 ]; then echo "$name | SURVIVED | $test"
    elif grep -q "^error" <<<"$out" && ! grep -q "test result" <<<"$out"; then echo "$name | DID NOT BUILD | $test"
    else echo "$name | seen, ${cases:-a plain test} | $test | $reason"
    fi
}

only=("$@")
log=the_log_keeps_what_it_acknowledged
mutant lease-too-long src/raft.rs 's/LEASE_THOUSANDTHS: u64 = 850/LEASE_THOUSANDTHS: u64 = 1700/' fuzz $log
mutant no-silence-after-restart src/raft.rs 's/silent_until_ms: now_ms \+ timing.election_ms/silent_until_ms: 0/' fuzz $log
mutant votes-while-leader-heard src/raft.rs 's/now_ms < heard \|\| now_ms < self\.silent_until_ms \|\| leading/now_ms < self.silent_until_ms/' fuzz $log
mutant vote-not-synced src/raft.rs 's/self\.output\.records\.push\(record\);\n    \}\n\n    fn start_pre_vote/let _ = record;\n    }\n\n    fn start_pre_vote/' fuzz $log
mutant entries-not-synced src/raft.rs 's/self\.output\.records\.push\(DiskRecord::Append\(entry\.clone\(\)\)\);\n            self\.entries/self.entries/' fuzz $log
mutant votes-for-shorter-log src/raft.rs 's/last >= self\.last\(\)/last >= LogMark::default()/g' fuzz $log
mutant read-without-own-entry src/raft.rs 's/            && self\.term_at\(self\.commit\) == Some\(self\.term\)\n//' fuzz $log
mutant edit-ids-forgotten src/table.rs 's/Some\(record\) if record\.edit == \*edit => return record\.answer\.clone\(\),/Some(record) if record.edit == *edit => {}/' fuzz $log
mutant edit-ids-not-in-snapshot src/table.rs 's/    answered: BTreeMap<\(PartnerName, EditId\), EditRecord>,/    #[serde(skip)]\n    answered: BTreeMap<(PartnerName, EditId), EditRecord>,/' fuzz $log
mutant other-partners-row src/table.rs 's/Some\(row\) if row\.partner != edit\.partner => \{/Some(row) if false \&\& row.partner != edit.partner => {/' fuzz $log
mutant version-not-checked src/table.rs 's/_ if version != edit\.expected => \{/_ if false \&\& version != edit.expected => {/' fuzz $log
mutant claim-taken-twice src/claims.rs 's/\(Some\(record\), _\) if record\.settled != Some\(Settlement::NotRun\) =>/(Some(record), _) if false \&\& record.settled != Some(Settlement::NotRun) =>/' fuzz $log
mutant lost-disk-votes-again tests/fuzz/log.rs 's/self\.voters\[voter\]\.id = id;\n        self\.voters\[voter\]\.disk = DiskImage::default\(\);/let founders = (0..VOTERS as u64).map(NodeId).collect();\n        self.voters[voter].disk = LogReplica::founding_image(founders);/' fuzz $log
