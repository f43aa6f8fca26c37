import type { ExecutionEvent } from "./executionLog.js";

/** One execution of a request on a target. `endedAt` is the time of its commit or abort. */
export interface Execution {
    service: string;
    target: string;
    boot: string;
    execution: number;
    key: string | undefined;
    position: number | undefined;
    identifier: string | undefined;
    term: number | undefined;
    /** Time at which the target checked the term: at the commit for targets that check grants, else at the start. */
    termAt: number;
    method: string;
    path: string;
    startedAt: number;
    endedAt: number | undefined;
    effect: "committed" | "abandoned" | "none-yet";
}

/** A violated invariant, with the executions that prove it. */
export type Violation =
    | { type: "two-owners"; executions: [Execution, Execution] }
    | { type: "term-fell"; executions: [Execution, Execution] }
    | { type: "double-commit"; executions: Execution[] }
    | { type: "false-not-run"; executions: Execution[] };

/** A request that was reported to its caller as not run. */
export interface NotRunReport {
    service: string;
    identifier: string;
    /** Time at which the caller resent the identifier (machine's monotonic clock). Later executions are legitimate. */
    sentAgainAt?: number;
}

/**
 * Builds executions from the events of all targets, sorted by start time.
 *
 * @example
 * const executions = executionsOf(logFiles.flatMap(file => readExecutionLog(file)));
 */
export const executionsOf = (events: readonly ExecutionEvent[]): Execution[] => {
    const executions = new Map<string, Execution>();
    for (const event of events) {
        if (event.type === "start") {
            executions.set(`${event.boot} ${event.execution}`, {
                service: event.service,
                target: event.target,
                boot: event.boot,
                execution: event.execution,
                key: event.key,
                position: event.position,
                identifier: event.identifier,
                term: event.term,
                termAt: event.at,
                method: event.method,
                path: event.path,
                startedAt: event.at,
                endedAt: undefined,
                effect: "none-yet",
            });
        }
    }
    for (const event of events) {
        if (event.type === "commit" || event.type === "abandon") {
            const execution = executions.get(`${event.boot} ${event.execution}`);
            if (execution === undefined) {
                throw new Error(`Execution ${event.execution} of ${event.target} ended but has no start in the log.`);
            }
            execution.endedAt = event.at;
            execution.effect = event.type === "commit" ? "committed" : "abandoned";
            if (event.type === "commit" && event.term !== undefined && execution.term !== event.term) {
                execution.term = event.term;
                execution.termAt = event.at;
            }
        }
    }
    return [...executions.values()].sort((a, b) => a.startedAt - b.startedAt);
};

const groupsOf = <Item>(items: readonly Item[], groupOf: (item: Item) => string | undefined): Item[][] => {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const group = groupOf(item);
        if (group === undefined) {
            continue;
        }
        const members = groups.get(group);
        if (members === undefined) {
            groups.set(group, [item]);
        } else {
            members.push(item);
        }
    }
    return [...groups.values()];
};

const committedOf = (executions: readonly Execution[]): (Execution & { endedAt: number })[] =>
    executions.filter(
        (execution): execution is Execution & { endedAt: number } =>
            execution.effect === "committed" && execution.endedAt !== undefined,
    );

const ownershipGroup = ({ service, position, key }: Execution): string | undefined => {
    const positionOrKey = position ?? key;
    return positionOrKey === undefined ? undefined : JSON.stringify([service, positionOrKey]);
};

/**
 * Finds committed executions of one position (or key, if no position was logged) that overlap on two targets, and those
 * whose term is lower than that of an earlier commit. Executions without position and key are ignored, since their
 * service isn't divided by key.
 */
export const ownershipViolations = (executions: readonly Execution[]): Violation[] =>
    groupsOf(committedOf(executions), ownershipGroup).flatMap(group => {
        const violations: Violation[] = [];
        // Any overlap with a later start shows in the execution of each target that ended last so far.
        const lastByTarget = new Map<string, Execution & { endedAt: number }>();
        for (const execution of [...group].sort((a, b) => a.startedAt - b.startedAt)) {
            for (const [target, other] of lastByTarget) {
                if (target !== execution.target && execution.startedAt < other.endedAt) {
                    violations.push({ type: "two-owners", executions: [other, execution] });
                }
            }
            const last = lastByTarget.get(execution.target);
            if (last === undefined || last.endedAt < execution.endedAt) {
                lastByTarget.set(execution.target, execution);
            }
        }
        let highest: Execution | undefined;
        for (const execution of [...group].sort((a, b) => a.termAt - b.termAt)) {
            if (highest !== undefined && (execution.term ?? 0) < (highest.term ?? 0)) {
                violations.push({ type: "term-fell", executions: [highest, execution] });
            } else {
                highest = execution;
            }
        }
        return violations;
    });

/** Finds identifiers that committed more than once, among the requests that `isNonIdempotent` selects. */
export const doubleCommits = (
    executions: readonly Execution[],
    isNonIdempotent: (execution: Execution) => boolean,
): Violation[] =>
    groupsOf(committedOf(executions).filter(isNonIdempotent), ({ service, key, identifier }) =>
        identifier === undefined ? undefined : JSON.stringify([service, key, identifier]),
    )
        .filter(group => group.length > 1)
        .map(group => ({ type: "double-commit", executions: group }));

/**
 * Finds `not-run` reports whose identifier has an execution, even one without effect, that started before the
 * identifier was resent.
 */
export const falseNotRuns = (executions: readonly Execution[], reports: readonly NotRunReport[]): Violation[] => {
    const nameOf = ({ service, identifier }: { service: string; identifier?: string }) =>
        identifier === undefined ? undefined : JSON.stringify([service, identifier]);
    const byIdentifier = new Map(groupsOf(executions, nameOf).map(group => [nameOf(group[0]), group]));
    return reports.flatMap((report): Violation[] => {
        const run = (byIdentifier.get(nameOf(report)) ?? []).filter(
            ({ startedAt }) => startedAt < (report.sentAgainAt ?? Infinity),
        );
        return run.length === 0 ? [] : [{ type: "false-not-run", executions: run }];
    });
};
