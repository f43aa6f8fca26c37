import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Folders in which lines are counted. */
export const REPOSITORY_FOLDERS = ["src", "platform", "test", "bench", "tools"] as const;

const files = (folder: string, names: readonly string[]): string[] => names.map(name => `src/${folder}/${name}.ts`);

/**
 * Product code for routing, limits, retries, membership, state and recovery. Excludes the command line, the operator
 * interface, settings, bundle files, the audit trail, metrics, logs and the wiring of the process.
 */
export const STATE_AND_ROUTING_FILES: readonly string[] = [
    // Routing and answers.
    ...files("request", [
        "identifier",
        "normalizeRequest",
        "outcome",
        "position",
        "refusal",
        "routedRequest",
        "targetTask",
    ]),
    ...files("connection", [
        "answerSink",
        "batcher",
        "callerServer",
        "controlLink",
        "controlServer",
        "forwardLink",
        "forwardServer",
        "peerProtocol",
        "targetConnections",
    ]),
    ...files("process", [
        "dispatch/classifyTargetFailure",
        "membership/controlHandler",
        "daemon",
        "dispatch/dispatchers",
        "membership/peers",
        "dispatch/targetDispatcher",
    ]),
    ...files("request", ["decideAfterAttempt", "gatewayCall", "gatewayRequest", "roomWait"]),
    ...files("connection", ["gatewayServer", "resettingConnector"]),
    ...files("version", ["routeLookup", "weightedSplit"]),
    ...files("process/gateway", [
        "assignerLease",
        "chooseTarget",
        "configKeeper",
        "crashSuspects",
        "decideAdmission",
        "decideRoom",
        "gateway",
        "gatewayTarget",
        "gatewayTargets",
        "grantRecord",
        "keyAssigner",
        "keyAssigners",
        "keyMap",
        "keyOwners",
        "keyTraffic",
        "lateGrants",
        "loadExchange",
        "loadReport",
        "planMoves",
        "reportCrashes",
        "createRetryBudget",
        "retryLimit",
        "roomQueue",
        "serviceDemand",
        "sharedLoad",
        "tableFollower",
        "targetDirectory",
        "targetPlacement",
        "targetRooms",
    ]),
    ...files("process", ["dispatch/targetSelection"]),
    ...files("version", ["pathPattern", "requestKinds"]),
    // Limits and load.
    ...files("process", [
        "dispatch/admissionQueue",
        "dispatch/concurrencyLimit",
        "runtime/decayedRate",
        "balance/dispatchedLoad",
        "dispatch/durationEstimate",
        "dispatch/fairShare",
        "balance/hotKeySketch",
        "runtime/indexedHeap",
        "balance/loadImbalance",
        "balance/loadModel",
        "dispatch/longWorkShare",
        "balance/moveBudget",
        "dispatch/offeredLoad",
        "balance/rebalance",
        "balance/rebalancer",
        "dispatch/routeDurations",
        "balance/sliceLoad",
        "dispatch/startShare",
        "dispatch/targetScheduler",
    ]),
    // Retries, at-most-once records and quarantine.
    ...files("process", [
        "records/durableRecord",
        "records/identifierRecord",
        "records/identifierTable",
        "dispatch/quarantine",
        "records/recordAuthority",
        "records/recordHandOver",
        "dispatch/retryBudget",
        "records/serviceRecords",
    ]),
    // Membership, state and recovery.
    ...files("process", [
        "bundles/bundleKeeper",
        "bundles/bundleRollout",
        "bundles/bundleRows",
        "runtime/coalescedTask",
        "ownership/domainEvacuation",
        "membership/domainLease",
        "ownership/drainRequests",
        "ownership/grantKeeper",
        "store/instanceList",
        "membership/membership",
        "ownership/ownership",
        "store/platformError",
        "store/platformObjects",
        "store/platformTable",
        "membership/rendezvous",
        "store/rows",
        "ownership/serviceLayout",
        "ownership/sliceMap",
        "ownership/sliceTransfer",
        "ownership/spreadLostTarget",
        "store/tablePoller",
        "store/tableReplica",
        "ownership/takeover",
    ]),
];

/** Numbers of non-blank lines by purpose. */
export interface LineCounts {
    product: number;
    testFiles: number;
    testSupport: number;
    benchmarks: number;
    tools: number;
}

const KIND_BY_FOLDER: Record<(typeof REPOSITORY_FOLDERS)[number], keyof LineCounts> = {
    src: "product",
    platform: "product",
    test: "testSupport",
    bench: "benchmarks",
    tools: "tools",
};

const linesOf = (file: string): number =>
    readFileSync(file, "utf8")
        .split("\n")
        .filter(line => line.trim() !== "").length;

/**
 * Counts the lines of TypeScript in folders of the working directory, recursively.
 *
 * @example
 * countLines(["src"]).product; // lines of the product without tests
 */
export const countLines = (folders: readonly (typeof REPOSITORY_FOLDERS)[number][]): LineCounts => {
    const counts: LineCounts = { product: 0, testFiles: 0, testSupport: 0, benchmarks: 0, tools: 0 };
    for (const folder of folders) {
        const names = readdirSync(folder, { recursive: true, encoding: "utf8" }).filter(name => name.endsWith(".ts"));
        for (const name of names) {
            counts[name.endsWith(".test.ts") ? "testFiles" : KIND_BY_FOLDER[folder]] += linesOf(join(folder, name));
        }
    }
    return counts;
};

/** Counts the lines of `STATE_AND_ROUTING_FILES`. */
export const routingLines = (): number => STATE_AND_ROUTING_FILES.reduce((sum, file) => sum + linesOf(file), 0);
