import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { executionsOf, type Execution, type Violation } from "../support/executionChecker.js";
import { seededRandom } from "../support/seededRandom.js";
import type { FinishedRequest } from "./caller.js";
import { brokenBounds, deploymentFigures, type DeploymentFigures } from "./deploymentFigures.js";
import { DEPLOYMENTS, DOMAINS } from "./deployments.js";
import { DemoRouter } from "./demoRouter.js";
import { figuresTable } from "./figuresTable.js";
import { chooseVictims, killVictims } from "./kills.js";
import type { FileRequest } from "./requestFile.js";
import { sendFile } from "./sendFile.js";
import { sendTraffic } from "./traffic.js";

/** Time for which the callers send requests, in milliseconds. */
const TRAFFIC_MS = 12_000;
/** Maximum number of violations that are printed in full. */
const MAX_PRINTED_VIOLATIONS = 5;

/** Options of a demo run. */
export interface DemoOptions {
    seed: number;
    /** Requests to send instead of the mix. */
    requests: readonly FileRequest[] | undefined;
    /** Folder for the logs of instances and targets. */
    logs: string | undefined;
    signal: AbortSignal;
    print: (text: string) => void;
}

interface Column {
    name: string;
    figures: DeploymentFigures;
}

const describeViolation = ({ type, executions }: Violation): string => {
    const places = executions.map(
        ({ target, term, startedAt, endedAt, effect }) =>
            `${target} term ${term ?? "-"} ${effect} ${startedAt.toFixed(1)}..${endedAt?.toFixed(1) ?? ""}`,
    );
    const { method, path, key, identifier } = executions[0];
    return `${type}: ${method} ${path} key ${key ?? "-"} identifier ${identifier ?? "-"}: ${places.join("; ")}`;
};

const sendMix = async (router: DemoRouter, { seed, signal, print }: DemoOptions): Promise<FinishedRequest[]> => {
    const victims = chooseVictims(router, seededRandom(seed));
    const addresses = router.instances.map(({ callers }) => callers).sort();
    const [traffic] = await Promise.all([
        sendTraffic({ seed, durationMs: TRAFFIC_MS, addresses, signal }),
        killVictims(router, victims, { report: print, signal }),
    ]);
    return traffic.flatMap(({ finished }) => finished);
};

/** Writes each request with its sends as a line of JSON. */
const saveRequests = (finished: readonly FinishedRequest[], logs: string | undefined): void => {
    if (logs !== undefined) {
        mkdirSync(logs, { recursive: true });
        writeFileSync(join(logs, "requests.jsonl"), finished.map(request => `${JSON.stringify(request)}\n`).join(""));
    }
};

const columnsOf = (finished: readonly FinishedRequest[], executions: readonly Execution[]): Column[] =>
    DEPLOYMENTS.map(({ name, services }) => {
        const isOwn = ({ service }: { service: string }) => services.some(own => own.name === service);
        return {
            name,
            figures: deploymentFigures(
                finished.filter(({ request }) => isOwn(request)),
                executions.filter(isOwn),
            ),
        };
    });

const report = (columns: readonly Column[], { print, requests }: DemoOptions): boolean => {
    const used = columns.filter(({ figures }) => requests === undefined || figures.requests > 0);
    print(`\n${figuresTable(used)}\n`);
    print("The unavailability of a key lasts from a request for it to the key's next whole answer.");
    const violations = used.flatMap(({ figures }) => [
        ...figures.atMostOnce,
        ...figures.ownership,
        ...figures.falseNotRuns,
    ]);
    violations.slice(0, MAX_PRINTED_VIOLATIONS).forEach(violation => print(describeViolation(violation)));
    // All requests of a file may be refused for valid reasons, so an answer isn't required.
    const broken = used
        .filter(({ figures }) => requests === undefined || figures.ended.whole > 0)
        .flatMap(({ name, figures }) => brokenBounds(name, figures));
    broken.forEach(text => print(text));
    print(broken.length === 0 ? "All correctness bounds are held." : "Correctness bounds are broken.");
    return broken.length === 0;
};

/**
 * Runs the demo. Returns true if no correctness bound is violated. Ends all processes that it started, even when it
 * fails or is aborted by the signal; in these cases it throws.
 *
 * @example
 * process.exitCode = (await runDemo({ seed: 1, requests: undefined, logs: undefined, signal, print })) ? 0 : 1;
 */
export const runDemo = async (options: DemoOptions): Promise<boolean> => {
    const { seed, requests, logs, signal, print } = options;
    const startedAt = performance.now();
    const step = (text: string) =>
        print(`${((performance.now() - startedAt) / 1_000).toFixed(1).padStart(5)} s  ${text}`);
    step(`Starting the platform, targets and entry instances (seed ${seed}).`);
    const router = await DemoRouter.start();
    try {
        signal.throwIfAborted();
        const { targets } = router.cluster;
        step(`${targets.length} targets and ${router.instances.length} entry instances in ${DOMAINS.join(" and ")}.`);
        await untilAborted(router.rollBundle(), signal);
        step("The bundle is in force, and each target has a dispatcher. Sending requests.");
        const finished =
            requests === undefined
                ? await sendMix(router, { ...options, print: step })
                : await sendFile(requests, { seed, addresses: addressesOf(router), signal, print });
        signal.throwIfAborted();
        step("All requests are done. Checking the targets' logs.");
        saveRequests(finished, logs);
        return report(columnsOf(finished, executionsOf(router.cluster.events())), options);
    } finally {
        if (logs !== undefined) {
            mkdirSync(logs, { recursive: true });
            router.saveLogs(logs);
        }
        await router.dispose();
    }
};

/** Stops waiting for an operation that can't be cancelled when the signal is aborted. */
const untilAborted = async <Value>(waited: Promise<Value>, signal: AbortSignal): Promise<Value> => {
    let abort: () => void = () => undefined;
    const aborted = new Promise<never>((_, fail) => {
        abort = () => fail(signal.reason as Error);
        signal.addEventListener("abort", abort);
    });
    try {
        signal.throwIfAborted();
        return await Promise.race([waited, aborted]);
    } finally {
        signal.removeEventListener("abort", abort);
    }
};

const addressesOf = (router: DemoRouter): string[] => router.instances.map(({ callers }) => callers).sort();
