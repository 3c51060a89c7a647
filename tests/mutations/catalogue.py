"""List of edits to the core, each of which some test must notice."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutation:
    """One edit.

    Parameters
    ----------
    module : str
        Module of the core, without its package.
    old, new : str
        Text that is replaced once, and what replaces it.
    test : str
        Test module that must fail.
    """

    module: str
    old: str
    new: str
    test: str


MUTATIONS = (
    Mutation(
        "session_configuration",
        "return (self.service, self.consistency, self.max_age_s) == (",
        "return (self.service, other.consistency, self.max_age_s) == (",
        "test_session_configuration",
    ),
    Mutation(
        "session_configuration",
        "return any(self.team_by_key.get(key) != team for key in keys)",
        "return all(self.team_by_key.get(key) != team for key in keys)",
        "test_session_configuration",
    ),
    Mutation(
        "group_view",
        "return None if len(fenced) >= self.majority else newest",
        "return None if len(fenced) >= self.majority + 9 else newest",
        "test_group_view",
    ),
    Mutation(
        "group_view",
        "as_of = min(primary.sent_at, confirmations[self.majority - 1])",
        "as_of = primary.sent_at",
        "test_group_view",
    ),
    Mutation(
        "lease",
        "unchanged_s >= LEASE_S + CLOCK_MARGIN_S",
        "unchanged_s >= LEASE_S * 0.3",
        "test_lease",
    ),
    Mutation(
        "fleet_state",
        "return self.is_member(now) and now < self.as_of + PRIMARY_LEASE_S",
        "return self.is_member(now)",
        "test_fleet_state",
    ),
    Mutation(
        "fleet_state",
        "if row is None or row.phase is not LeadPhase.SETTLED:",
        "if row is None:",
        "test_fleet_state",
    ),
    Mutation(
        "fleet_state",
        "return now >= since + PRIMARY_LEASE_S",
        "return now >= since + PRIMARY_LEASE_S * 0.5",
        "test_fleet_state",
    ),
    Mutation(
        "fleet_state",
        "if known is not None and known.version >= row.version:",
        "if known is not None and known.version > row.version + 99:",
        "test_fleet_state",
    ),
    Mutation(
        "promotion",
        "return nothing_requested and not self._must_replace",
        "return nothing_requested and not self.is_planned",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "return next((key for key, end in end_by_id.items() if end == longest), None)",
        "return next(iter(end_by_id), None)",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "            and status.term > self.term",
        "            and status.received.term > self.term",
        "test_promotion",
    ),
    Mutation(
        "primary_evidence",
        "horizon = now - VOTE_VALID_S",
        "horizon = now - 60.0",
        "test_primary_evidence",
    ),
    Mutation(
        "freshness",
        "oldest = now - max_age_s",
        "oldest = now - 2 * max_age_s",
        "test_freshness",
    ),
    Mutation(
        "rate_limiter",
        "cutoff = min(last_updates, default=now)",
        "cutoff = now",
        "test_rate_limiter",
    ),
    Mutation(
        "rate_limiter",
        "return shares.get(source, self._vms_by_source[source] / self.members)",
        "return 0.0",
        "test_rate_limiter",
    ),
    Mutation(
        "rate_limiter",
        "return whole + (1.0 if draw < burst - whole else 0.0)",
        "return whole + 1.0",
        "test_rate_limiter",
    ),
    Mutation(
        "pooled_rate_limiter",
        "if self.host and now - self._updated_at > MAX_UPDATE_GAP_S:",
        "if self.host and now - self._updated_at > 99.0:",
        "test_pooled_rate_limiter",
    ),
    Mutation(
        "pooled_rate_limiter",
        "if not state_by_peer and self._domain_peers:",
        "if not state_by_peer and not self._domain_peers:",
        "test_pooled_rate_limiter",
    ),
    Mutation(
        "pooled_rate_limiter",
        "reserve_share=self.local.unreachable_share,",
        "",
        "test_pooled_rate_limiter",
    ),
    Mutation(
        "pooled_rate_limiter",
        "if self.pool is None and (is_agreed or",
        "if self.pool is None and (True or",
        "test_pooled_rate_limiter",
    ),
    Mutation(
        "pooled_rate_limiter",
        "if not was_local:\n            self.local.empty(now)",
        "pass",
        "test_pooled_rate_limiter",
    ),
    Mutation(
        "peer_topology",
        "return frozenset(members) - {vm}",
        "return frozenset()",
        "test_peer_topology",
    ),
    Mutation(
        "store_clock",
        "self._low_offset_s = max(self._low_offset_s, sent_at - store_s)",
        "self._low_offset_s = max(self._low_offset_s, received_at - store_s)",
        "test_store_clock",
    ),
    Mutation(
        "target_directory",
        "if now - self._recovered_at < RECOVERY_GRACE_S:",
        "if False:",
        "test_target_directory",
    ),
    Mutation(
        "send_window",
        "self.size = max(MIN_WINDOW, self.size * SLOW_FACTOR)",
        "pass",
        "test_send_window",
    ),
    Mutation(
        "fleet_state",
        "self.sponsored_until = requested_at + SPONSORSHIP_S",
        "self.sponsored_until = requested_at + 9 * SPONSORSHIP_S",
        "test_fleet_state",
    ),
    Mutation(
        "fleet_state",
        "return now < self.sponsored_until and self._is_available(",
        "return now < self.sponsored_until or self._is_available(",
        "test_fleet_state",
    ),
    Mutation(
        "fleet_contact",
        "oldest = max(since, now - REPORT_VALID_S)",
        "oldest = now - REPORT_VALID_S",
        "test_fleet_contact",
    ),
    Mutation(
        "fleet_contact",
        "return bool(reports) and all(vm in report.unreachable for report in reports)",
        "return any(vm in report.unreachable for report in reports)",
        "test_fleet_contact",
    ),
    Mutation(
        "primary_evidence",
        "return now - self.relayed_at < PROBE_VALID_S",
        "return False",
        "test_primary_evidence",
    ),
    Mutation(
        "primary_evidence",
        "return votes > UNPROBED_VOTE_SHARE * others",
        "return False",
        "test_primary_evidence",
    ),
    Mutation(
        "admission_queue",
        "if wait_s > limit_s:",
        "if next_token_s > limit_s:",
        "test_admission_queue",
    ),
    Mutation(
        "admission_queue",
        "if is_closed or now - busy_since > MAX_BUSY_S:",
        "if is_closed:",
        "test_admission_queue",
    ),
    Mutation(
        "pooled_rate_limiter",
        "if first_at is not None and now - first_at < FRESH_PROCESS_S:",
        "if first_at is not None:",
        "test_pooled_rate_limiter",
    ),
    Mutation(
        "peer_topology",
        "orders.append(member.relay_order)",
        "orders.append((0.0, member.vm))",
        "test_peer_topology",
    ),
    Mutation(
        "true_time",
        "self._agreed_offset_s = median(offsets)",
        "self._agreed_offset_s = offsets[-1]",
        "test_true_time",
    ),
    Mutation(
        "true_time",
        "if len(offsets) >= MIN_REPORTERS:",
        "if offsets:",
        "test_true_time",
    ),
    Mutation(
        "usage_counts",
        "if count > counts.get(team, 0):",
        "if count != counts.get(team, 0):",
        "test_usage_counts",
    ),
    Mutation(
        "usage_counts",
        "self.final_through = max(self.final_through, oldest_pending - 1)",
        "self.final_through = max(self.final_through, current - 1)",
        "test_usage_counts",
    ),
    Mutation(
        "usage_counts",
        "if newest > current_window + 1:",
        "if newest > current_window + 99:",
        "test_usage_counts",
    ),
    Mutation(
        "usage_report",
        "return DUTY_LEASE_S + lease_s",
        "return lease_s",
        "test_usage_report",
    ),
    Mutation(
        "usage_report",
        "self._active_from = now + self._settle_s",
        "self._active_from = now",
        "test_usage_report",
    ),
    Mutation(
        "usage_report",
        "return 0 < held_token == self.token and now >= self._active_from",
        "return self.token > 0 and now >= self._active_from",
        "test_usage_report",
    ),
    Mutation(
        "usage_report",
        "return Step(StepKind.SEND, self.token, unsent[0])",
        "return Step(StepKind.SEND, self.token, replace(unsent[0], "
        "count_by_team=counts.totals(unsent[0].window)))",
        "test_usage_report",
    ),
    Mutation(
        "usage_report",
        "if version is None:\n            self._is_read = False",
        "if version is None:\n            self.report_by_window[step.window] = "
        "step.report",
        "test_usage_report",
    ),
    Mutation(
        "usage_report",
        "if unsent and unsent[0].window < self._last_marked():",
        "if False:",
        "test_usage_report",
    ),
    Mutation(
        "usage_report",
        "window = max(newest + 1, current - KEPT_WINDOWS + 1)",
        "window = max(newest + 1, current - 1)",
        "test_usage_report",
    ),
    Mutation(
        "service_host",
        "// vm_count < MIN_SHARE",
        "// vm_count < 0",
        "test_service_host",
    ),
    Mutation(
        "service_host",
        " or self.heard_at <= self._bypassed_at",
        "",
        "test_service_host",
    ),
    Mutation(
        "service_host",
        "if now > self.due_at + LATE_CHECK_S:",
        "if False:",
        "test_service_host",
    ),
    Mutation(
        "service_host",
        "if self._is_available(vm) and not is_bypassed(vm):",
        "if self._is_available(vm):",
        "test_service_host",
    ),
    Mutation(
        "promotion",
        "required_count = max(1, counted - self.copies + 1)",
        "required_count = 1",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "return (*self.candidates, *self.other_replicas)",
        "return self.candidates",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "if self.final_position is not None and self.final_position >= required:",
        "if self.final_position is not None:",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "if now - self.refused_at > REFUSED_RETRY_S:",
        "if False:",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "max(promoted, key=lambda key: self.status_by_id[key].term, default=None)",
        "(promoted[0] if promoted else None)",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "            self.is_planned\n            and old is not None",
        "            old is not None",
        "test_promotion",
    ),
    Mutation(
        "drain_schedule",
        "return now <= max(owed_until, self.finish_by - objective_s)",
        "return now <= self.finish_by",
        "test_drain_schedule",
    ),
    Mutation(
        "drain_schedule",
        "return now <= max(owed_until, self.finish_by - objective_s)",
        "return now <= self.finish_by - objective_s",
        "test_drain_schedule",
    ),
    Mutation(
        "drain_schedule",
        "margin_s = min(ANSWER_MARGIN_S, ANSWER_FRACTION * self.grace_s)",
        "margin_s = ANSWER_MARGIN_S",
        "test_drain_schedule",
    ),
    Mutation(
        "target_pace",
        "return running + waiting * self._mean_response_s / DIVISION_S",
        "return running + waiting",
        "test_target_pace",
    ),
    Mutation(
        "target_pace",
        "if self.limit < self._regain_limit:",
        "if True:",
        "test_target_pace",
    ),
    Mutation(
        "target_pace",
        "if limit <= self.limit - LOWER_LIMIT:",
        "if False:",
        "test_target_pace",
    ),
    Mutation(
        "connection_budget",
        "RESTART_FRACTION = 0.6",
        "RESTART_FRACTION = 0.9",
        "test_statement_queue",
    ),
    Mutation(
        "team_use",
        "return recent * exp((used_at - now) / DECAY_S)",
        "return recent",
        "test_team_use",
    ),
    Mutation(
        "promotion",
        "counted = len(self._replicas) + self.ended_count - empty_count",
        "counted = len(received_by_id)",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "counted = len(self._replicas) + self.ended_count - empty_count",
        "counted = len(self._replicas) - empty_count",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "if end >= required and key in answered",
        "if end >= required",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "            self.status_by_id.pop(target_id, None)\n",
        "            pass\n",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "if unknown > 0 or self.has_log or self.final_position is not None:",
        "if unknown > 0:",
        "test_promotion",
    ),
    Mutation(
        "promotion",
        "has_its_log = old.received is not None or not self.has_log",
        "has_its_log = True",
        "test_promotion",
    ),
    Mutation(
        "replica_set",
        "if replica.is_listed or not self._reason_to_ignore(replica, now)",
        "if replica.is_listed",
        "test_replacement_model",
    ),
    Mutation(
        "replica_set",
        "return len(holders) >= max(1, self.sync_replicas)",
        "return True",
        "test_replacement_model",
    ),
    Mutation(
        "replica_set",
        "return len(holders) >= max(1, self.sync_replicas)",
        "return len(holders) >= 1",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "            and other.answered_at == asked_at\n",
        "",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "                replica.needed_at = now\n",
        "                pass\n",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "and replica.ended_at >= reading.asked_at:\n            return False",
        "and False:\n            return False",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "            self._add_debt(promoted.entry, now)\n",
        "            pass\n",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "        if not reaches(end, replica.end):",
        "        if False:",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "            if replica is None or replica.entry.born_ms != entry.born_ms:",
        "            if replica is None:",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "        if entry.target_id in self.replica_by_id:\n"
        "            self._end(entry.target_id, now)\n",
        "",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "            elif entry.target_id in replaced_ids:\n"
        "                self._end(entry.target_id, now)\n",
        "",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "given_up = sum(self._is_given_up(replica, now) for replica in self.ended)",
        "given_up = 0",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "return now - max(self._led_at, replica.needed_at) >= GONE_AFTER_S",
        "return False",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "elif identity not in self._released and not self._has_ended(identity):",
        "else:",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "if primary and is_leading and primary.is_listed and not primary.is_silent:",
        "if primary and is_leading and primary.is_listed:",
        "test_replica_set",
    ),
    Mutation(
        "replica_set",
        "        if not self.is_silent:\n            self.needed_at = now\n",
        "        self.needed_at = now\n",
        "test_replica_set",
    ),
    Mutation(
        "memory_budget",
        "if large_bytes > self.limit_bytes * LARGE_ACCOUNTS_SHARE:",
        "if False:",
        "test_memory_budget",
    ),
    Mutation(
        "memory_budget",
        "if size > largest:",
        "if False:",
        "test_memory_budget",
    ),
)
