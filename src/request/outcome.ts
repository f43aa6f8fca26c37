/** Outcome of a request, as reported to the caller in the `Sassafrasloom-Outcome` header. */
export type Outcome = "answered" | "not-run" | "unknown" | "invalid";

export const OUTCOME_HEADER = "sassafrasloom-outcome";
export const KEY_HEADER = "sassafrasloom-key";
export const DEADLINE_HEADER = "sassafrasloom-deadline-ms";
export const CALLER_HEADER = "sassafrasloom-caller";
export const SERVICE_HEADER = "sassafrasloom-service";
export const IDENTIFIER_HEADER = "idempotency-key";

/** Headers of requests to targets. */
export const TERM_HEADER = "sassafrasloom-term";
export const POSITION_HEADER = "sassafrasloom-position";
/** Absolute deadline in the target's monotonic clock, in milliseconds. */
export const DEADLINE_AT_HEADER = "sassafrasloom-deadline-at";

/** Header by which a target states that it abandoned a started request without effect; the value is the reason. */
export const ABANDONED_HEADER = "sassafrasloom-abandoned";

/** Header by which a target states that a refused request has not run; the value is the reason. */
export const NOT_RUN_HEADER = "sassafrasloom-not-run";
