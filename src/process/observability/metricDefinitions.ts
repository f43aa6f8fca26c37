/** Budgets for control work per node. */
export const CONTROL_CPU_BUDGET_RATIO = 0.031;
export const CONTROL_MEMORY_BUDGET_BYTES = 128 * 1024 * 1024;
export const CONTROL_TRAFFIC_BUDGET_BYTES_PER_SECOND = 3 * 1024;

/** Definition of a metric. Summaries record durations in microseconds and expose them in seconds. */
export interface MetricDefinition {
    type: "counter" | "gauge" | "summary";
    help: string;
    labels: readonly string[];
}

/** All metrics, keyed by their name without the prefix `sassafrasloom_`. */
export const METRICS = {
    load_imbalance_ratio: {
        type: "gauge",
        help: "Measure 1: load of the busiest target of the service over the mean of its targets.",
        labels: ["service"],
    },
    ownership_churn_share_total: {
        type: "counter",
        help: "Measure 2: share of the service's key space that has changed its owner; 1 is the whole key space once.",
        labels: ["service", "cause"],
    },
    keys_unavailable_seconds: {
        type: "summary",
        help: "Measure 3: time for which keys were not served during a move or a takeover.",
        labels: ["service", "cause"],
    },
    peak_within_deadline_ratio: {
        type: "gauge",
        help: "Measure 4: share of the requests answered within their deadline in the busiest second of the last minute.",
        labels: ["service"],
    },
    head_of_line_delay_seconds: {
        type: "summary",
        help: "Measure 5: time that a short request waited for a slot while a long one held a slot of its target.",
        labels: ["service"],
    },
    requests_total: {
        type: "counter",
        help: "Requests by the outcome that the caller was told; `caller-gone` when it left before.",
        labels: ["service", "outcome"],
    },
    callers_gone_total: {
        type: "counter",
        help: "Callers of a gateway that left before their answer, by what their request was waiting for (`state`).",
        labels: ["service", "state"],
    },
    late_sends_total: {
        type: "counter",
        help: "Requests sent to a target although their caller may have left over half a second before, by why that was read late: `stall` or `paused`.",
        labels: ["service", "cause"],
    },
    room_waiting_requests: {
        type: "gauge",
        help: "Requests that wait at a gateway for room at a busy target.",
        labels: ["service"],
    },
    room_waits_total: {
        type: "counter",
        help: "Requests that waited for room at a busy target, by priority and by how the wait ended (`result`): `sent`, `refused`, `stopped` with the instance, or `caller-gone`.",
        labels: ["service", "result", "priority"],
    },
    room_wait_seconds: {
        type: "summary",
        help: "Time for which a request waited for room at busy targets.",
        labels: ["service"],
    },
    shed_requests_total: {
        type: "counter",
        help: "Requests that a gateway refused because targets are busy, by the priority of their route.",
        labels: ["service", "priority"],
    },
    limit_permits_total: {
        type: "counter",
        help: "Requests for a target that is cold or has stated a limit, by `result`: `admitted`, `refused`, or `unanswered` when no instance admits.",
        labels: ["service", "result"],
    },
    target_statements_total: {
        type: "counter",
        labels: ["service", "kind"],
        help: "Statements of targets that they leave (`leaving`, once for each) or that a rest begins (`rest`).",
    },
    target_stated_limit: {
        type: "gauge",
        help: "Requests per second that the target states that it takes from all instances together; infinite once it states none.",
        labels: ["service", "target"],
    },
    cold_targets: {
        type: "gauge",
        help: "Targets of the service that count as cold, so that the rate of their requests is bounded.",
        labels: ["service"],
    },
    targets_turned_cold_total: {
        type: "counter",
        help: "Targets that have turned cold, by how this instance noticed it (`cause`): `entry`, `answer`, `restart` (an entry of a later start), `refused` or `broken` (a connection that a restart would explain), `silent` (no connection could be established for a time), `ended` (an idle connection, while this instance stood still), `evacuation` (of its failure domain, as it begins or ends), or `report` of another instance.",
        labels: ["service", "cause"],
    },
    unbounded_cold_requests_total: {
        type: "counter",
        help: "Requests that this instance had sent without a permit to targets that were cold already, by how it noticed that later (`cause`).",
        labels: ["service", "cause"],
    },
    disproved_restarts_total: {
        type: "counter",
        help: "Targets that counted as cold because of a failed connection until an answer showed that they haven't restarted.",
        labels: ["service"],
    },
    attempt_failures_total: {
        type: "counter",
        help: "Requests sent to a target, or to be sent, that got no complete answer, by the kind of failure (`type`) and whether they were sent.",
        labels: ["service", "type", "sent"],
    },
    forwarded_requests_total: {
        type: "counter",
        help: "Requests that this instance sent through others (`sent`), or took from others and sent to targets (`taken`), by `direction` and outcome: `answered`, `not-sent`, `lost` or `caller-gone`.",
        labels: ["direction", "outcome"],
    },
    cut_paths: {
        type: "gauge",
        help: "Targets of the service to which the path of this instance is cut.",
        labels: ["service"],
    },
    cut_off: { type: "gauge", help: "1 while this instance reaches no target, else 0.", labels: [] },
    grants_total: {
        type: "counter",
        help: "Grants and renewals by the reply of the target: `granted`, `unanswered`, `refused` (no process listens), `other-target`, `outdated` or `invalid`.",
        labels: ["service", "reply"],
    },
    owners_without_grant: {
        type: "gauge",
        help: "Owners of keys that didn't take their last grant, on the instance that assigns keys.",
        labels: ["service"],
    },
    evacuated_domains: {
        type: "gauge",
        help: "1 while this instance knows that the failure domain is evacuated by a row of the store, 0 once it has ended.",
        labels: ["domain"],
    },
    evacuated_domain_keys: {
        type: "gauge",
        help: "Keys that targets in an evacuated failure domain still own, on the instance that assigns keys.",
        labels: ["service", "domain"],
    },
    stalls_total: { type: "counter", help: "Times that the event loop of a gateway stalled.", labels: [] },
    request_seconds: {
        type: "summary",
        help: "Time from the arrival of a request to the end of its answer.",
        labels: ["service"],
    },
    refusals_total: { type: "counter", help: "Refused requests by reason.", labels: ["service", "reason"] },
    target_queue_requests: {
        type: "gauge",
        help: "Requests that wait for a slot of the target.",
        labels: ["service", "target"],
    },
    target_in_flight_requests: {
        type: "gauge",
        help: "Requests that the target runs.",
        labels: ["service", "target"],
    },
    target_limit_requests: {
        type: "gauge",
        help: "Concurrency limit of the target.",
        labels: ["service", "target"],
    },
    target_estimated_load_requests: {
        type: "gauge",
        help: "Requests that run or wait at the target, as this gateway estimates.",
        labels: ["service", "target"],
    },
    target_probes: {
        type: "gauge",
        help: "Requests that this gateway has sent to the target although it was thought to be saturated.",
        labels: ["service", "target"],
    },
    target_missing_answers: {
        type: "gauge",
        help: "Requests that this gateway has sent again before their time because the target's other answers showed that theirs was missing.",
        labels: ["service", "target"],
    },
    sending_instances: {
        type: "gauge",
        help: "Instances that send to the service, as this gateway estimates from its answers and the reported loads.",
        labels: ["service"],
    },
    loses_when_full: {
        type: "gauge",
        help: "1 if targets of the service were seen to lose requests when they were full, else 0.",
        labels: ["service"],
    },
    takeover_seconds: {
        type: "summary",
        help: "Time from the suspicion of a dispatcher or the loss of a target to the commit of the new assignment.",
        labels: ["kind"],
    },
    move_seconds: { type: "summary", help: "Duration of planned moves.", labels: ["service"] },
    retry_budget_tokens: { type: "gauge", help: "Retries that the budget allows at present.", labels: ["service"] },
    retries_total: {
        type: "counter",
        help: "Requests sent to a target again, by the end of the attempt before: `silent`, `lost`, `failed` or `not-run`.",
        labels: ["service", "cause"],
    },
    retry_budget_decisions_total: {
        type: "counter",
        help: "Retries that the budget granted or refused (`result`). A granted retry may still find no target.",
        labels: ["service", "result"],
    },
    excessive_answers_total: {
        type: "counter",
        help: "Answers of targets that were broken off because their `content`, or their head and `framing`, was too large.",
        labels: ["service", "part"],
    },
    silent_connections_total: {
        type: "counter",
        help: "Connections to targets that carried nothing any more although the target answered on a fresh one.",
        labels: ["service"],
    },
    bundle_version: { type: "gauge", help: "Bundle version in force.", labels: ["domain"] },
    bundle_age_seconds: { type: "gauge", help: "Time since the bundle in force came into force.", labels: [] },
    bundle_delay_seconds: {
        type: "gauge",
        help: "Maximum time from the write of the bundle in force until it came into force here; 0 for the first one of a process.",
        labels: [],
    },
    platform_up: { type: "gauge", help: "1 while the platform answers, else 0.", labels: [] },
    platform_silence_seconds: { type: "gauge", help: "Time since the platform last answered.", labels: [] },
    table_silence_seconds: {
        type: "gauge",
        help: "Time since a followed table (`configs`, `targets`, `owners` or `crashes`) was last read, by this instance or by the one that relays changes.",
        labels: ["table"],
    },
    table_failed_calls: {
        type: "gauge",
        help: "Calls that read a followed table and have failed since its last answer.",
        labels: ["table"],
    },
    table_call_seconds: {
        type: "gauge",
        help: "Duration of the call that reads a followed table, beyond the time for which the store may hold it; 0 without one.",
        labels: ["table"],
    },
    table_call_bytes: {
        type: "gauge",
        help: "Bytes of the answer that the call that reads a followed table, or the last one, has received.",
        labels: ["table"],
    },
    store_era: {
        type: "gauge",
        help: "Era of the platform's store, which rises by one each time the store is restored from a copy; 0 while unknown.",
        labels: [],
    },
    key_assigner: { type: "gauge", help: "1 while this instance assigns keys on the platform, else 0.", labels: [] },
    lease_seconds: { type: "gauge", help: "Time left of the domain lease; 0 when it has lapsed.", labels: [] },
    audit_buffered_records: { type: "gauge", help: "Audit records that are not yet in the table.", labels: [] },
    audit_dropped_records_total: { type: "counter", help: "Audit records dropped during outages.", labels: [] },
    control_cpu_ratio: {
        type: "gauge",
        help: "Share of a core that control work (not requests) took since the last measurement.",
        labels: [],
    },
    control_cpu_budget_ratio: { type: "gauge", help: "Budget of control_cpu_ratio.", labels: [] },
    control_memory_bytes: {
        type: "gauge",
        help: "Resident memory of the whole process, which bounds that of the control work from above.",
        labels: [],
    },
    control_memory_budget_bytes: { type: "gauge", help: "Budget of control_memory_bytes.", labels: [] },
    control_traffic_bytes_per_second: {
        type: "gauge",
        help: "Control bytes sent and received per second since the last measurement.",
        labels: [],
    },
    control_traffic_budget_bytes_per_second: {
        type: "gauge",
        help: "Budget of control_traffic_bytes_per_second.",
        labels: [],
    },
    process_cpu_ratio: {
        type: "gauge",
        help: "Share of a core that the whole process took since the last measurement, requests included.",
        labels: [],
    },
    series_limited_total: {
        type: "counter",
        help: "Label values counted under `other` because the metric had reached its limit of series.",
        labels: ["metric"],
    },
} as const satisfies Record<string, MetricDefinition>;

export type MetricName = keyof typeof METRICS;
type NamesOfType<Type extends MetricDefinition["type"]> = {
    [Name in MetricName]: (typeof METRICS)[Name]["type"] extends Type ? Name : never;
}[MetricName];
export type CounterName = NamesOfType<"counter">;
export type GaugeName = NamesOfType<"gauge">;
export type SummaryName = NamesOfType<"summary">;
/** Label values of a metric, keyed by label name. */
export type MetricLabels<Name extends MetricName> = Record<(typeof METRICS)[Name]["labels"][number], string>;

export const METRIC_PREFIX = "sassafrasloom_";
