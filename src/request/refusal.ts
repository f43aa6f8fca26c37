import { z } from "zod";
import { parseJson } from "../process/runtime/parseJson.js";
import type { Outcome } from "./outcome.js";

/** Error of a product of floating-point numbers, so that 1.1 isn't rounded up to 1.11. */
const ROUNDING_ERROR = 1e-6;
/** Prefix of the type of a refusal in its problem details. */
const TYPE_PREFIX = "urn:sassafrasloom:";

/** Reasons for refusing a request, with the HTTP status, the outcome and the advice to the caller. */
const REFUSAL_KINDS = {
    "no-bundle": { status: 503, outcome: "not-run", retryAfterSeconds: 1, advice: "Send it again shortly." },
    "unknown-route": { status: 404, outcome: "invalid", advice: "Use a host and path that the config routes." },
    "unknown-service": { status: 404, outcome: "invalid", advice: "Name a service of the bundle in force." },
    "unknown-kind": { status: 404, outcome: "invalid", advice: "Use a method and path that the bundle declares." },
    "bad-method": { status: 405, outcome: "invalid", advice: "Use a method that the bundle declares for this path." },
    "missing-key": { status: 400, outcome: "invalid", advice: "Set the Sassafrasloom-Key header." },
    "bad-key": { status: 400, outcome: "invalid", advice: "Use a key of 1 to 512 printable characters." },
    "bad-deadline": { status: 400, outcome: "invalid", advice: "Set Sassafrasloom-Deadline-Ms to whole milliseconds." },
    "bad-service": { status: 400, outcome: "invalid", advice: "Correct the Sassafrasloom-Service header." },
    "missing-identifier": { status: 400, outcome: "invalid", advice: "Set Idempotency-Key to a new UUIDv7." },
    "bad-identifier": { status: 400, outcome: "invalid", advice: "Use a UUIDv7 (RFC 9562) as Idempotency-Key." },
    "identifier-from-future": { status: 400, outcome: "invalid", advice: "Correct the clock of the caller." },
    "identifier-reused": { status: 422, outcome: "invalid", advice: "Use a new Idempotency-Key for another request." },
    "header-too-large": { status: 431, outcome: "invalid", advice: "Send fewer or smaller headers." },
    "body-too-large": { status: 413, outcome: "invalid", advice: "Send a smaller body." },
    "malformed-request": { status: 400, outcome: "invalid", advice: "Send an HTTP/1.1 request." },
    "request-timeout": { status: 408, outcome: "invalid", advice: "Send the whole request without pauses." },
    "truncated-body": { status: 400, outcome: "invalid", advice: "Send the whole body that was announced." },
    "identifier-too-old": {
        status: 409,
        outcome: "unknown",
        advice: "Find out by a lookup whether it took effect; a new identifier may run it a second time.",
    },
    "identifier-before-term": {
        status: 409,
        outcome: "unknown",
        advice: "Find out by a lookup whether it took effect; a new identifier may run it a second time.",
    },
    "already-run": {
        status: 409,
        outcome: "unknown",
        advice: "It was sent to the target before, and its answer is not kept. Find out by a lookup.",
    },
    "answer-lost": {
        status: 504,
        outcome: "unknown",
        advice: "It may have run. An idempotent request may be sent again; for others send the same identifier again.",
    },
    "answer-broken": {
        status: 502,
        outcome: "unknown",
        advice: "It may have run. An idempotent request may be sent again; for others find out by a lookup.",
    },
    "deadline-passed": { status: 503, outcome: "not-run", advice: "It may be sent again with a longer deadline." },
    overloaded: { status: 503, outcome: "not-run", retryAfterSeconds: 1, advice: "Send it again after the pause." },
    "retry-budget-spent": {
        status: 503,
        outcome: "not-run",
        retryAfterSeconds: 1,
        advice: "Send it again after the pause.",
    },
    "owner-unreachable": {
        status: 503,
        outcome: "not-run",
        retryAfterSeconds: 1,
        advice: "The owner's failure domain can't be reached. Send it again after the pause.",
    },
    "no-owner": { status: 503, outcome: "not-run", retryAfterSeconds: 1, advice: "Send it again after the pause." },
    "not-dispatcher": { status: 503, outcome: "not-run", retryAfterSeconds: 1, advice: "Send it again." },
    "lease-lapsed": {
        status: 503,
        outcome: "not-run",
        retryAfterSeconds: 1,
        advice: "The dispatching instance can't renew its lease. Send it again after the pause.",
    },
    "record-unavailable": {
        status: 503,
        outcome: "not-run",
        retryAfterSeconds: 2,
        advice: "The durable record can't be written. Send it again with the same identifier.",
    },
    quarantined: {
        status: 503,
        outcome: "not-run",
        retryAfterSeconds: 600,
        advice: "Targets crashed while running this request. Report it to the operators before sending it again.",
    },
    "shutting-down": { status: 503, outcome: "not-run", retryAfterSeconds: 1, advice: "Send it again." },
    internal: { status: 500, outcome: "unknown", advice: "It may have run. Report it to the operators." },
} as const satisfies Record<string, { status: number; outcome: Outcome; advice: string; retryAfterSeconds?: number }>;

export type RefusalKind = keyof typeof REFUSAL_KINDS;

/** Typed reason for not answering a request. `detail` describes the specific case. */
export interface Refusal {
    type: RefusalKind;
    detail: string;
    /** Delay in seconds before the caller may retry; defaults to the value of the refusal kind. */
    retryAfterSeconds?: number;
}

/** Problem details (RFC 9457) of a refusal, with its HTTP status and outcome. */
export interface Problem {
    status: number;
    outcome: Outcome;
    retryAfterSeconds: number | undefined;
    body: { type: string; title: string; status: number; outcome: Outcome; detail: string };
}

/**
 * Creates a refusal.
 *
 * @example
 * return err(refuse("missing-key", "Service stock is divided by key."));
 */
export const refuse = (type: RefusalKind, detail: string, retryAfterSeconds?: number): Refusal => ({
    type,
    detail,
    ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
});

/**
 * Returns the outcome that a refusal reports to the caller.
 *
 * @example
 * outcomeOfRefusal(refuse("overloaded", "The queue is full.")); // "not-run"
 */
export const outcomeOfRefusal = (refusal: Refusal): Outcome => REFUSAL_KINDS[refusal.type].outcome;

/**
 * Converts a refusal to the problem details that are sent to the caller.
 *
 * @example
 * const problem = problemOfRefusal(refuse("quarantined", "Two crashes."));
 * response.statusCode = problem.status;
 */
export const problemOfRefusal = (refusal: Refusal): Problem => {
    const kind: { status: number; outcome: Outcome; advice: string; retryAfterSeconds?: number } =
        REFUSAL_KINDS[refusal.type];
    return {
        status: kind.status,
        outcome: kind.outcome,
        retryAfterSeconds: refusal.retryAfterSeconds ?? kind.retryAfterSeconds,
        body: {
            type: `${TYPE_PREFIX}${refusal.type}`,
            title: refusal.type.replaceAll("-", " "),
            status: kind.status,
            outcome: kind.outcome,
            detail: `${refusal.detail} ${kind.advice}`,
        },
    };
};

const problemSchema = z.object({ type: z.string().startsWith(TYPE_PREFIX), detail: z.string() });

/**
 * Reads a refusal of another instance from its problem details; `undefined` if the bytes are none.
 *
 * @param retryAfterSeconds delay that the answer states, in seconds
 *
 * @example
 * decodeProblem(body, 0.35); // { type: "owner-unreachable", detail: "...", retryAfterSeconds: 0.35 }
 */
export const decodeProblem = (body: Buffer, retryAfterSeconds: number | undefined): Refusal | undefined => {
    const problem = problemSchema.safeParse(parseJson(body.toString())).data;
    const type = problem?.type.slice(TYPE_PREFIX.length) ?? "";
    return problem !== undefined && isRefusalKind(type) ? refuse(type, problem.detail, retryAfterSeconds) : undefined;
};

/**
 * The delay in seconds after which a caller may return, as the value of a field. It is rounded up, as callers that return too early
 * are refused again.
 *
 * @example
 * delayField(0.3512); // "0.36"
 */
export const delayField = (seconds: number): string => String(Math.ceil(seconds * 100 - ROUNDING_ERROR) / 100);

/** Whether a string is a refusal kind; used to validate messages from peers. */
export const isRefusalKind = (type: string): type is RefusalKind => Object.hasOwn(REFUSAL_KINDS, type);
