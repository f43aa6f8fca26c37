import {
    doubleCommits,
    falseNotRuns,
    ownershipViolations,
    type Execution,
    type Violation,
} from "../support/executionChecker.js";
import { notRunReports, type FinishedRequest } from "./caller.js";
import { longestUnavailability } from "./keyUnavailability.js";
import { percentile } from "./percentile.js";

/** Latencies in milliseconds; `undefined` without an answer. */
export interface LatencyFigures {
    p50Ms: number | undefined;
    p99Ms: number | undefined;
}

/** Results of one deployment from its callers and its targets' logs. */
export interface DeploymentFigures {
    requests: number;
    sends: number;
    /** Each request is counted once under `ended`, by its last send. */
    ended: { whole: number; notWhole: number; notRun: number; unknown: number; invalid: number; unreached: number };
    /** Incomplete answers that the router forwarded as complete. */
    incompleteAsWhole: number;
    notOwn: number;
    atMostOnce: Violation[];
    ownership: Violation[];
    falseNotRuns: Violation[];
    executions: number;
    unavailability: { key: string | undefined; durationMs: number };
    short: LatencyFigures;
    long: LatencyFigures;
}

const latencies = (finished: readonly FinishedRequest[]): LatencyFigures => {
    const values = finished
        .filter(({ ending }) => ending === "whole")
        .map(({ sends }) => sends[sends.length - 1].endedAt - sends[0].sentAt);
    return { p50Ms: percentile(values, 50), p99Ms: percentile(values, 99) };
};

/**
 * Computes the figures of one deployment from its finished requests and the executions at its targets.
 *
 * @example
 * deploymentFigures(finished, executions).atMostOnce.length; // 0
 */
export const deploymentFigures = (
    finished: readonly FinishedRequest[],
    executions: readonly Execution[],
): DeploymentFigures => {
    const endings = finished.map(({ ending }) => ending);
    const count = (...wanted: readonly string[]) => endings.filter(ending => wanted.includes(ending)).length;
    // Idempotent requests have no identifier at the targets. Their paths take its place, where a path is used once.
    const uses = new Map<string, number>();
    finished.forEach(({ request }) => uses.set(request.path, (uses.get(request.path) ?? 0) + 1));
    const traceable = finished.filter(({ request }) => !request.idempotent || uses.get(request.path) === 1);
    const named = executions.map(execution => ({ ...execution, identifier: execution.identifier ?? execution.path }));
    const keySends = finished.flatMap(({ request, sends }) =>
        request.key === undefined
            ? []
            : sends
                  // A refused connection says nothing about the key, only about the instance.
                  .filter(({ ending }) => ending !== "unreached")
                  .map(({ ending, sentAt, endedAt }) => ({
                      key: `${request.service}/${request.key}`,
                      sentAt,
                      endedAt,
                      isAnswered: ending === "whole",
                  })),
    );
    return {
        requests: finished.length,
        sends: finished.reduce((sum, { sends }) => sum + sends.length, 0),
        ended: {
            whole: count("whole"),
            notWhole: count("cut-off"),
            notRun: count("not-run"),
            unknown: count("unknown", "broken"),
            invalid: count("invalid"),
            unreached: count("unreached"),
        },
        incompleteAsWhole: finished.filter(({ fault }) => fault === "incomplete").length,
        notOwn: finished.filter(({ fault }) => fault === "not-own").length,
        atMostOnce: doubleCommits(executions, ({ identifier }) => identifier !== undefined),
        ownership: ownershipViolations(executions),
        falseNotRuns: falseNotRuns(named, traceable.flatMap(notRunReports)),
        executions: executions.length,
        unavailability: longestUnavailability(keySends),
        short: latencies(finished.filter(({ request }) => !request.long)),
        long: latencies(finished.filter(({ request }) => request.long)),
    };
};

/**
 * Describes the violated correctness bounds, one sentence each. A run without answers or executions proves nothing and
 * counts as a violation.
 *
 * @example
 * brokenBounds("kerala", figures); // []
 */
export const brokenBounds = (name: string, figures: DeploymentFigures): string[] => {
    const bounds: [number, string][] = [
        [figures.atMostOnce.length, "identifiers of non-idempotent requests ran more than once"],
        [figures.ownership.length, "executions of a key overlapped on two targets or had a term that fell"],
        [figures.falseNotRuns.length, "requests were reported as not run and had run"],
        [figures.incompleteAsWhole, "incomplete answers were passed on as whole"],
        [figures.notOwn, "answers belonged to another request"],
    ];
    const broken = bounds.filter(([found]) => found > 0).map(([found, text]) => `${name}: ${found} ${text}.`);
    if (figures.ended.whole === 0 || figures.executions === 0) {
        broken.push(`${name}: no request was answered, so nothing was checked.`);
    }
    return broken;
};
