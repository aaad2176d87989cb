#!/usr/bin/env bash
# Mutation tests: removes one mechanism at a time from a scratch copy and checks that the
# named test then fails. Prints the mutant, the result, the test and, for property tests,
# the number of cases that passed before the failure.
# A run that hits its time limit, MUTANT_LIMIT_S seconds with its build, proves nothing and is
# printed as such. Not part of CI. Usage: tests/mutants.sh [NAME ...]
set -u
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export CARGO_TARGET_DIR="$scratch/target"

mutant() { # name files perl-expression test-target test-name
    local name=$1 file=$2 change=$3 target=$4 test=$5
    [ ${#only[@]} -eq 0 ] || [[ " ${only[*]} " == *" $name "* ]] || return 0
    rm -rf "$scratch/src" "$scratch/tests" "$scratch/platform"
    cp -r Cargo.toml Cargo.lock src tests platform "$scratch/"
    [ -d benches ] && cp -r benches "$scratch/"
    (cd "$scratch" && perl -0pi -e "$change" $file)
    if diff -rq src "$scratch/src" >/dev/null && diff -rq tests "$scratch/tests" >/dev/null; then
        echo "$name | NOT APPLIED | $test"
        return
    fi
    local out
    local cases=20000
    [ "$test" = the_log_keeps_acknowledged_changes ] && cases=20000
    [ "$test" = the_sum_of_running_requests_stays_within_the_limit ] && cases=100000
    out=$(cd "$scratch" && DUNLINSPRING_CASES=$cases timeout "${MUTANT_LIMIT_S:-500}" cargo test --offline --test "$target" -- "$test" 2>&1)
    local code=$?
    local reason
    cases=$(grep -oE 'successes: [0-9]+' <<<"$out" | tail -1)
    reason=$(grep -A1 "panicked at" <<<"$out" | grep -v "panicked at\|^--" | tail -1 | cut -c1-90)
    if [ $code -eq 0 ]; then echo "$name | SURVIVED | $test"
    elif [ $code -eq 124 ]; then echo "$name | TIME LIMIT | $test"
    elif grep -q "^error" <<<"$out" && ! grep -q "test result" <<<"$out"; then echo "$name | DID NOT BUILD | $test"
    else echo "$name | seen, ${cases:-a plain test} | $test | $reason"
    fi
}

only=("$@")
log=the_log_keeps_acknowledged_changes
mutant lease-too-long src/consensus/raft.rs 's/LEASE_PER_MILLE: u64 = 850/LEASE_PER_MILLE: u64 = 1700/' fuzz $log
mutant no-silence-after-restart src/consensus/raft.rs 's/no_vote_until_ms: now_ms \+ timing.election_ms/no_vote_until_ms: 0/' fuzz $log
mutant votes-while-leader-heard src/consensus/raft.rs 's/now_ms < leader_valid_ms \|\| now_ms < self\.no_vote_until_ms \|\| leading/now_ms < self.no_vote_until_ms/' fuzz $log
mutant vote-not-synced src/consensus/raft.rs 's/self\.output\.records\.push\(record\);\n    \}\n\n    fn start_pre_vote/let _ = record;\n    }\n\n    fn start_pre_vote/' fuzz $log
mutant entries-not-synced src/consensus/raft.rs 's/self\.output\.records\.push\(DiskRecord::Append\(entry\.clone\(\)\)\);\n            self\.entries/self.entries/' fuzz $log
mutant votes-for-shorter-log src/consensus/raft.rs 's/last >= self\.last\(\)/last >= LogMark::default()/g' fuzz $log
mutant read-without-own-entry src/consensus/raft.rs 's/            && self\.term_at\(self\.commit\) == Some\(self\.term\)\n//' fuzz $log
mutant edit-ids-forgotten src/table/rows.rs 's/Some\(record\) if record\.edit == \*edit => return record\.answer\.clone\(\),/Some(record) if record.edit == *edit => {}/' fuzz $log
mutant edit-ids-not-in-snapshot src/table/rows.rs 's/    answered: BTreeMap<\(PartnerName, EditId\), EditRecord>,/    #[serde(skip)]\n    answered: BTreeMap<(PartnerName, EditId), EditRecord>,/' fuzz $log
mutant other-partners-row src/table/rows.rs 's/Some\(row\) if row\.partner != edit\.partner => \{/Some(row) if false \&\& row.partner != edit.partner => {/' fuzz $log
mutant version-not-checked src/table/rows.rs 's/_ if version != edit\.expected => \{/_ if false \&\& version != edit.expected => {/' fuzz $log
mutant claim-taken-twice src/consensus/claims.rs 's/\(Some\(record\), _\) if record\.settled != Some\(Settlement::NotRun\) =>/(Some(record), _) if false \&\& record.settled != Some(Settlement::NotRun) =>/' fuzz $log
mutant lost-disk-votes-again tests/fuzz/log.rs 's/self\.voters\[voter\]\.id = id;\n        self\.voters\[voter\]\.disk = DiskImage::default\(\);/let founders = (0..VOTERS as u64).map(NodeId).collect();\n        self.voters[voter].disk = LogReplica::bootstrap_image(founders);/' fuzz $log
gate=outcomes_memory_and_runs_stay_correct
mutant memory-freed-at-order src/admission/ledger.rs 's/used\.phase = ModelPhase::Unloading;\n            used\.stamp = stamp;/used.phase = ModelPhase::Unloading;\n            used.mib = 0;\n            used.stamp = stamp;/' fuzz $gate
mutant unanswered-load-not-counted src/admission/ledger.rs 's/None => !settled,/None => false,/' fuzz $gate
mutant account-open-at-once src/admission/ledger.rs 's/OrderCheck::Fenced => report\.fence\.life == life,/OrderCheck::Fenced => true,/' fuzz $gate
mutant no-wait-for-late-orders src/admission/controller.rs 's/let open_after_ms = now_ms \+ policy\.lease_ms \+ late_ms;/let open_after_ms = 0 * (now_ms + policy.lease_ms + late_ms);/' fuzz $gate
mutant orders-without-lease src/admission/controller.rs 's/if self\.order_in_flight \|\| !self\.has_lease\(now_ms\) \{/if self.order_in_flight {/' fuzz $gate
mutant runs-without-lease src/admission/controller.rs 's/self\.policy\.capacity_mib > 0 && !self\.has_lease\(now_ms\)/false \&\& now_ms > 0/' fuzz $gate
mutant predecessors-runs-not-counted src/admission/ledger.rs 's/for run in &report\.running \{/for run in report.running.iter().take(0) {/' fuzz $gate
mutant seal-forgets src/admission/controller.rs 's/self\.insert_attempt\(now_ms, attempt, None, Stage::Ended\(end\)\);/return self.refused(attempt, RefuseCause::Sealed, REFUSAL_RETRY_MS);/' fuzz $gate
mutant lost-start-is-not-run src/routing/lifecycle.rs 's/\(Stage::Starting\(attempt\), _\) => self\.stage = Stage::Sealing\(attempt\),/(Stage::Starting(_), _) => self.end_not_run(EndCause::TargetLost),/' fuzz $gate
mutant not-run-after-maybe src/routing/lifecycle.rs 's/let outcome = match self\.maybe_ran \{/let outcome = match false {/' fuzz $gate
mutant other-life-may-start src/admission/controller.rs 's/if request\.incarnation != self\.life \{/if false \&\& request.incarnation != self.life {/' fuzz $gate
mutant claims-reused src/consensus/claims.rs 's/\(Some\(record\), _\) if record\.settled != Some\(Settlement::NotRun\) =>/(Some(record), _) if record.settled.is_some() \&\& record.settled != Some(Settlement::NotRun) =>/' fuzz $gate
mutant unclaimed-start src/routing/lifecycle.rs 's/true => Stage::Claiming\(attempt\),/true => Stage::Starting(attempt),/' fuzz $gate
mutant refused-resume-is-not-run src/admission/controller.rs 's/RunEvent::Refused if !attempt\.resumed =>/RunEvent::Refused if true || !attempt.resumed =>/' fuzz $gate
mutant pieces-out-of-order src/admission/controller.rs 's/if index as usize == attempt\.pieces\.len\(\) \{/if index as usize + 1 >= attempt.pieces.len() {/' fuzz $gate
mutant boot-not-checked tests/fuzz/gate.rs 's/ \|\| order\.boot != self\.boot//; s/ \|\| run\.boot != engine\.boot//' fuzz $gate
limit=the_sum_of_running_requests_stays_within_the_limit
mutant old-ask-granted src/table/limits.rs 's/let new = request_number > \*newest;/let new = true || request_number > *newest;/' fuzz $limit
mutant new-leader-not-quiet src/table/limits.rs 's/let quiet_until_ms = self\.since_ms/let quiet_until_ms = 0 * self.since_ms/; s/ \+ self\.policy\.lease_ms \+ patience_ms;/;/' fuzz $limit
mutant lease-without-patience src/table/limits.rs 's/expires_ms: now_ms \+ self\.policy\.lease_ms \+ patience_ms,/expires_ms: now_ms + self.policy.lease_ms,/' fuzz $limit
mutant shrink-at-once src/table/limits.rs 's/counted: share\.max\(claim\.held\),/counted: share,/' fuzz $limit
place=every_model_keeps_or_regains_a_home
mutant unloads-last-home src/placement/moves.rs 's/ready\.count\(\) <= 1/ready.count() <= 0/' fuzz $place
mutant spares-before-repair src/placement/moves.rs 's/let claimed = !homeless\.is_empty\(\)\n/let claimed = false\n/' fuzz $place
mutant no-ejection src/placement/moves.rs 's/None if self\.relocate_sole_home\(model, wanted, moves\) => \{\}//; s/None => self\.step_to_packing\(wanted, moves\),/None => {}/' fuzz $place
mutant unloading-memory-reused src/placement/moves.rs 's/let taken: u64 = homes\n                \.keys\(\)/let taken: u64 = homes\n                .iter().filter(|(_, h)| h.phase != HomePhase::Unloading).map(|(m, _)| m)/' fuzz $place
view=copies_follow_the_log_and_never_go_back
mutant page-goes-back src/routing/view.rs 's/_ if page\.to <= self\.position => return false,//' fuzz $view
mutant gap-followed src/routing/view.rs 's/Some\(from\) if from > self\.position => return false,//' fuzz $view
mutant journal-gap-unseen src/consensus/state.rs 's/if cursor < self\.journal_from \{/if false \&\& cursor < self.journal_from {/' fuzz $view
mutant agent-stops-without-drain src/agent/shell.rs 's/while !shared\.admission\(\)\.is_idle\(\) \{/while false \&\& !shared.admission().is_idle() {/' failures planned_stops_cut_nothing_off
mutant entry-never-stale src/entry/shell.rs 's/confirmed \+ self\.settings\.stale_ms < clock::monotonic_ms\(\)/false \&\& confirmed + self.settings.stale_ms < clock::monotonic_ms()/' failures an_entry_that_is_cut_off
mutant leaving-target-takes-work 'src/admission/controller.rs src/routing/view.rs' 's/_ if self\.draining => Some\(RefuseCause::Leaving\),/_ if false \&\& self.draining => Some(RefuseCause::Leaving),/; s/!member\.leaving\)/!member.leaving || true)/' failures a_draining_target_gets_no_new_work
mutant silence-of-a-freeze-is-loss src/placement/target_controller.rs 's/self\.decided_ms \+ self\.policy\.loss_ms \/ 2 < now_ms/false \&\& self.decided_ms < now_ms/' duties a_leader_that_was_frozen
mutant drawn-quota-not-counted src/table/quota.rs 's/\(depth - self\.drawn\.outstanding as f64\)\.max\(0\.0\)/depth/' quota units_held_by_entries_count_in_the_bucket
mutant quota-never-lapses src/table/quota.rs 's/if now_ms >= self\.expires_ms \{/if now_ms == u64::MAX {/' quota held_units_expire_and_units_of_requests_not_run_are_refunded
mutant doubled-ask-draws-twice src/table/quota.rs 's/let newer = request\.number > known\.number;/let newer = true;/' quota a_duplicated_request_draws_once_and_a_late_reply_is_dropped
mutant proof-without-age src/routing/freshness.rs 's/requested_ms\.saturating_sub\(proof\.age_ms\)/requested_ms/' accounts a_proof_counts_for_its_version_and_all_later_ones
mutant keys-obeyed-without-word src/forward/daemon.rs 's/age_ms < self\.settings\.authority_ms/age_ms < u64::MAX/' forwarding no_key_is_accepted_for_long_without_newer_state
mutant key-passed-on src/forward/request/wire_heads.rs 's/drop\.extend\(\[names\.key, names\.account\]\);//' forwarding an_api_key_is_not_forwarded_but_its_account_is
mutant order-without-its-leader src/control/order_dispatcher.rs 's/\.ok_or\(CallError::NotLeader\)\?;/.unwrap_or(SendPermit { until_ms: u64::MAX });/' orderer an_order_is_sent_only_while_its_leader_holds_the_lease
mutant renewal-waits-for-the-voter src/control/order_dispatcher.rs 's/tokio::time::timeout\(left, self\.request\(\)\)\.await/Ok::<_, ()>(self.request().await)/' orderer an_order_ends_with_its_permit_while_the_voter_is_blocked
mutant order-closed-in-good-order src/forward/upstream.rs 's/\.and_then\(\|\(\)\| socket\.set_linger\(Some\(Duration::ZERO\)\)\)//' orderer an_order_that_times_out_leaves_nothing_in_transit
mutant kernel-goes-on src/forward/upstream.rs 's/socket\n            \.set_tcp_user_timeout\(Some\(left\)\)\n            \.and_then\(\|\(\)\| (socket\.set_linger\(Some\(Duration::ZERO\)\))\)/$1/' bounded_sending the_kernel_does_not_retransmit_an_order_after_its_transit_time
mutant deposed-leader-is-free src/consensus/raft.rs 's/self\.no_vote_until_ms = self\.no_vote_until_ms\.max\(lease_ms\);/let _ = lease_ms;/' permit a_leader_that_steps_down_grants_no_vote_before_its_permits_end
mutant stopping-leader-allows src/control/voter.rs 's/ \|\| self\.stopping\.is_some\(\)//' handover a_stopping_leader_permits_no_more_orders
mutant new-leader-gives-all src/table/quota.rs 's/match self\.has_predecessor \&\& /match false \&\& /' quota a_new_leader_grants_half_of_the_burst_to_any_first_entry
mutant lease-handed-over-early src/control/voter.rs 's/now_ms >= self\.permitted_until_ms/true/' handover a_stopping_leader_keeps_its_lease_while_orders_may_be_in_transit
mutant no-way-for-the-last-order src/placement/fleet.rs 's/self\.policy\.order_lease_ms \+ self\.policy\.order_transit_ms/self.policy.order_lease_ms/' fleet a_new_leader_waits_for_the_transit_of_its_predecessors_last_order
mutant snapshot-with-each-heartbeat src/consensus/raft.rs 's/progress\.install_until_ms = now_ms \+ SNAPSHOT_RESEND_MS;/progress.install_until_ms = 0;/' raft a_snapshot_is_sent_once_until_it_may_be_lost
mutant no-entries-before-the-snapshot src/consensus/raft.rs 's/self\.retained\.extend\(self\.entries\.drain\(\.\.kept\)\);/self.entries.drain(..kept);/' raft a_follower_that_lags_behind_a_compaction_gets_entries
mutant lone-leader-waits src/consensus/raft.rs 's/(peers\.contains\(node\)\);)\n        self\.advance_commit\(\);/$1/' raft a_leader_that_is_its_own_quorum_commits_entries_that_a_heartbeat_sends
mutant crowd-not-heeded src/forward/replica_table.rs 's/tokens: tokens\.saturating_sub\(own/tokens: 0 * tokens.saturating_sub(own/' crowd entries_that_share_queue_totals_keep_no_queue_that_delays_all
mutant own-counted-as-crowd src/forward/replica_table.rs 's/own\.get\(id\)\.copied\(\)\.unwrap_or\(0\)/0 * own.get(id).copied().unwrap_or(0)/' forward_parts a_home_congested_by_other_entries_takes_no_more
mutant silent-entry-counts src/placement/congestion.rs 's/        self\.expire_reports\(now_ms, threshold\);\n//' crowd reports_of_a_silent_entry_expire
mutant third-end-bars-nothing src/consensus/crashes.rs 's/MAX_CRASHES\.\. => Self::Barred,/MAX_CRASHES.. => Self::Suspect(2),/' crashes the_third_crash_quarantines_a_content_however_often_each_is_reported
mutant one-end-counts-twice src/consensus/crashes.rs 's/ \&\& !record\.crashes\.contains\(\&report\.replica\)//' crashes the_third_crash_quarantines_a_content_however_often_each_is_reported
mutant turns-for-all src/placement/suspect_leases.rs 's/return SuspectLeaseReply::Wait;/{}/' crashes one_attempt_of_a_suspect_runs_at_a_time
mutant suspects-together src/placement/suspect_leases.rs 's/\*\*key != request\.content \&\& lease\.replica == request\.replica/**key != request.content \&\& false/' crashes suspects_do_not_share_a_replica
mutant broken-is-a-crash src/forward/crashes.rs 's/(put\(&at\.incarnation\.id, connection\);\s+)Probe::Alive/$1Probe::Ended/' forwarding a_broken_connection_is_not_a_crash
mutant rivals-not-held src/consensus/part_crashes.rs 's/\(rivals\.is_empty\(\) \&\& !record\.is_doubtful\(\)\)/!record.is_doubtful()/' part_crashes parts_that_always_come_together_are_held_until_a_run_tells_them_apart
mutant ends-not-confirmed src/forward/request/crashes.rs 's/_ if exchange\.is_delimited\(\)/_ if exchange.is_delimited() || true/' forwarding a_response_that_ends_with_its_replica_is_not_passed_on_as_complete
mutant lifted-blames-others src/consensus/part_crashes.rs 's/record\.forget\(\&crashes\);/let _ = (record, \&crashes);/' part_crashes lifting_a_part_blames_none_whose_crashes_it_explained
mutant one-held-crash-convicts src/consensus/part_crashes.rs 's/true => held >= RIVAL_HELD_CRASHES/true => held > 0/' part_crashes a_sound_part_is_not_quarantined_by_an_unrelated_crash_while_it_is_held
mutant no-trials src/consensus/part_crashes.rs 's/held_crashes < MAX_HELD_CRASHES \&\& clock_ms/false \&\& held_crashes < MAX_HELD_CRASHES \&\& clock_ms/' part_crashes a_sound_part_is_free_again_after_a_trial
mutant many-crashes-count-each src/consensus/part_crashes.rs 's/if moment\.len\(\) >= MANY_CRASHES/if false \&\& moment.len() >= MANY_CRASHES/' part_crashes sound_parts_are_not_refused_as_replicas_end_for_other_reasons
mutant planned-ends-count src/consensus/state.rs 's/if self\.crash_causes\.is_planned\(replica\)/if false \&\& self.crash_causes.is_planned(replica)/' crashes the_end_of_a_replica_that_had_drained_is_no_crash
mutant resumed-at-other-software src/admission/controller.rs 's/false if continues => \{\}/false if true || continues => {}/' engine_versions a_response_is_not_resumed_at_a_replaced_engine
mutant continued-at-other-software "src/entry/request_driver.rs src/routing/lifecycle.rs" 's/continues: self\.lifecycle\.software\(\)\.cloned\(\)/continues: None/; s/false => software\.is_some\(\) \&\& self\.software == software/false => true/' engine_versions a_response_is_continued_at_another_target
mutant rerouting-not-known src/routing/route_changes.rs 's/\|\| rerouting\.is_some_and\([^)]*\)/|| rerouting.is_some_and(|_| false)/; s/now_ms < self\.unaware_until_ms/false/' forwarding a_stream_whose_route_moved
mutant earlier-streams-not-stored src/forward/stream_origins.rs 's/for service in moved \{/for service in moved.into_iter().take(0) {/' forwarding a_stream_goes_on_at_its_service_after
mutant rerouted-versions-confirmed src/routing/route_changes.rs 's/mix\.filter\(\|_\| !is_moved\)/mix.filter(|_| true)/' forwarding an_entry_that_started_after_a_route_moved_continues
mutant origins-asked-for-each src/routing/question_queue.rs 's/now_ms \+ ASK_INTERVAL_MS/now_ms/' question_queue a_question_is_not_served_by
mutant origins-forgotten-early src/routing/stream_origins.rs 's/self\.keep_ms\.max\(keep_ms\)/keep_ms/' origin_memory an_origin_is_kept_for_its_time
mutant later-life-unheard src/consensus/directory.rs 's/Some\(known\) if record\.started_ms > known\.started_ms => HeartbeatStatus::New,\n//' replica_born a_new_incarnation_is_accepted_though_its_numbers_restart
mutant pause-not-kept src/routing/backoff.rs 's/peer if now_ms < peer\.until_ms => /peer if false \&\& now_ms < peer.until_ms => /' backoff at_most_two_requests_arrive_within_a_backoff_period
mutant trials-without-bound src/routing/backoff.rs 's/peer\.probes >= MAX_PROBES/false/' backoff at_most_two_requests_arrive_within_a_backoff_period
mutant crowd-after-a-pause src/routing/backoff.rs 's/peer\.limit = 1;/peer.limit = UNLIMITED_REQUESTS;/' backoff after_a_backoff_one_request_goes_first
mutant leaving-not-kept src/routing/backoff.rs 's/peer if peer\.is_draining\(incarnation\) => /peer if false \&\& peer.is_draining(incarnation) => /' forwarding draining_announced_in_a_response
mutant no-last-look src/forward/request.rs 's/Err\(_\) => \{\n                core\.pool\.borrow_mut\(\)\.put\(replica, connection\);\n                return AttemptOutcome::NotSent;\n            \}/Err(_) => None,/' forwarding a_request_with_a_slow_connection
mutant refusals-not-kept src/entry/request_driver.rs 's/state\.refusals\.record\([^;]*;//' overload a_home_that_refused_a_row
limits=no_window_exceeds_the_advertised_limit
mutant limit-not-adopted src/placement/replica_rates.rs 's/cold_us\.max\(rate\.map\(\|rate\| rate\.gap_us\)\)/cold_us/' replica_limits $limits
mutant permit-outside-of-the-known-term src/placement/replica_rates.rs 's/if request\.is_limited && !self\.limits/if false \&\& !self.limits/' replica_limits a_new_leader_grants_no_permit
mutant limit-ended-by-any-answer src/placement/advertised_limits.rs 's/ && granted_ms > record\.observed_ms//' replica_limits a_late_older_response
mutant bucket-full-at-a-new-limit src/placement/rate_limit.rs 's/bucket\.due_us = bucket\.due_us\.max\(next_us\);/let _ = next_us;/' replica_limits $limits
mutant limit-heard-by-one-entry src/placement/advertised_limits.rs 's/let changes = self\.changes\.range\(from \+ 1\.\.\);/let changes = self.changes.range(u64::MAX..);/' replica_limits after_a_response_without
mutant unload-not-counted src/control/order_dispatcher.rs 's/KnownCount::Assumed\(expected \+ 1\)/KnownCount::Unknown/' orderer an_unload_that_took_effect_at_once_counts_as_an_order
mutant assumed-count-not-corrected src/control/order_dispatcher.rs 's/return Ok\(assumed - 1\);/let _ = assumed;/' orderer an_unload_that_took_effect_at_once_counts_as_an_order
mutant eviction-without-load src/placement/adapters.rs 's/REQUEST_TTL_MS: u64 = 1_000/REQUEST_TTL_MS: u64 = 0/' fleet an_adapter_is_loaded_when_the_slot_that_is_freed_for_it_is_free
mutant freed-slot-not-reserved src/placement/adapters.rs 's/waiting\.slot == SlotState::Freed\)\n/false \&\& waiting.slot == SlotState::Freed)\n/' fleet a_freed_slot_is_reserved_for_the_adapter_that_it_was_freed_for
mutant waits-for-an-ended-unload src/placement/adapters.rs 's/if unload\.is_none\(\) \{/if false \&\& unload.is_none() {/' fleet an_adapter_is_evicted_anew_when_the_model_of_the_first_one_is_gone
mutant version-not-required-at-the-choice src/forward/replica_table.rs 's/\.is_none_or\(\|version\| \*version == state\.version\)/.is_none_or(|_| true)/' stream_take_ups three_versions
mutant version-not-required-at-the-send src/routing/stream_origins.rs 's/required\.is_none_or\(\|required\| required == version\)/required.is_none_or(|_| version == version)/' stream_take_ups under_their_ids
mutant second-version-not-noticed src/consensus/software_versions.rs 's/Some\(VersionMix::Sole\(sole\)\) if sole != version/Some(VersionMix::Sole(sole)) if false \&\& sole != version/' stream_take_ups during_a_release
mutant version-settled-at-once src/placement/version_settlement.rs 's/now_ms >= sole\.since_ms\.saturating_add/now_ms >= 0 * sole.since_ms.saturating_add/' stream_take_ups one_version_alone
mutant origins-not-stored src/routing/stream_origins.rs 's/\.take\(ORIGIN_COPIES\)/.take(0)/' stream_take_ups after_their_entry_dies
mutant one-host-asked src/routing/stream_origins.rs 's/\.take\(HOSTS_ASKED\)/.take(1)/' stream_origins copies_and_asked_hosts
mutant account-not-in-the-key src/routing/stream_origins.rs 's/        hash\.update\(account\);\n//' stream_origins another_account
mutant second-origin-replaces-the-first src/routing/stream_origins.rs 's/Some\(known\) if known\.as_deref\(\) != Some\(origin\) => None/Some(known) if false \&\& known.as_deref() != Some(origin) => None/' stream_origins with_two_origins
mutant connection-not-proven src/routing/stream_origins.rs 's/(report\.asked <= opened => ConnectionProof::)Unknown/$1Expected/; s/None => ConnectionProof::Unknown/None => ConnectionProof::Expected/' stream_take_ups under_their_ids
mutant earlier-report-proves src/routing/stream_origins.rs 's/if report\.asked <= opened =>/if false \&\& report.asked <= opened =>/' stream_origins a_report_proves_connections
mutant ended-incarnation-not-seen src/routing/stream_origins.rs 's/if report\.started_ms > expected_ms =>/if false \&\& report.started_ms > expected_ms =>/' stream_origins a_report_proves_connections
mutant first-event-not-held src/forward/request/incarnation.rs 's/Some\(sent\) if self\.requires/Some(sent) if false \&\& self.requires/' forwarding a_stream_begun_at_an_unnoticed_restart
mutant continued-without-proof src/forward/request/incarnation.rs 's/Unknown if self\.is_continuing\(\)/Unknown if false \&\& self.is_continuing()/' forwarding a_stream_is_not_continued_at_a_replica_that_restarted
mutant repeat-on-one-connection src/routing/run_proof.rs 's/!self\.connections\.contains\(&connection\)/true/' forwarding a_copy_of_a_refusal
mutant promise-without-proof src/routing/run_proof.rs 's/sent if sent == self\.turned_away/_/' run_proof no_history
mutant report-of-another-request src/forward/start_reports.rs 's/identity: Some\(\(self\.names\.request_id, ""\)\)/identity: None/' forwarding a_copy_of_an_answer
mutant silent-replica-believed src/forward/request/crashes.rs 's/Some\(false\) => \{/Some(false) if false => {/; s/None => \{\n                self\.log\.note\("not known whether the response is complete"\);\n                false/_ => {\n                true/' forwarding leaving_replica_that_ended
mutant empty-success-believed src/forward/request/crashes.rs 's/Some\(true\) if is_success && is_empty/Some(true) if false \&\& is_success \&\& is_empty/' forwarding a_success_without_length
mutant rejected-events-counted src/forward/request/continuing.rs 's/if may_pass \{/if may_pass || true {/' forwarding a_stream_begins_elsewhere_if
power=what_a_voter_knew_outlives_kills_and_losses_of_power_at_any_call
mutant batch-not-synced src/control/journal/mod.rs 's/        self\.log\.sync\(\)\n    \}/        Ok(())\n    }/' crash_states $power
mutant replaced-name-not-synced src/control/journal/data_folder.rs 's/self\.replace_unsynced\(name, write\)\?;\n        self\.sync\(\)/self.replace_unsynced(name, write)/' crash_states $power
mutant replacement-not-synced src/control/journal/data_folder.rs 's/        file\.sync\(\)\?;\n        self\.rename/        self.rename/' crash_states $power
mutant opened-log-not-synced src/control/journal/mod.rs 's/        log\.sync\(\)\?;\n//' crash_states $power
mutant opened-folder-not-synced src/control/journal/mod.rs 's/        folder\.sync\(\)\?;\n        let mut journal/        let mut journal/' crash_states $power
mutant found-folder-not-synced src/control/journal/data_folder.rs 's/match existing.*?sync_names\(up\)\)/match None::<Result<()>>/s' crash_states $power
mutant torn-tail-is-damage src/control/journal/mod.rs 's/if has_sync_mark\(path, reader\.offset\)\? \{/if true {/' crash_states $power
mutant old-log-kept-at-install src/control/journal/mod.rs 's/        self\.folder\.sync\(\)\n    \}\n\}\n\n\/\/\/ Place/        Ok(())\n    }\n}\n\n\/\/\/ Place/' crash_states $power
