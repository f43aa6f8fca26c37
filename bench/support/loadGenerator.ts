import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { LatencyRecorder } from "./latencyRecorder.js";
import { loadPlanSchema, planOfWorker, type LoadPlanInput } from "./loadPlan.js";
import type { WorkerReport } from "./loadWorker.js";
import { readUsage, usageBetween, type ProcessUsage } from "./processUsage.js";

/** Measurements of a load. */
export interface LoadResult {
    /** Recorders by stream name. */
    streams: Map<string, LatencyRecorder>;
    /** Resource usage of the observed processes between the end of the warm-up and the end of the load, by process ID. */
    usage: Map<number, ProcessUsage>;
}

const workerFile = fileURLToPath(new URL("./loadWorker.js", import.meta.url));

const startWorker = async (): Promise<ChildProcess> => {
    const worker = fork(workerFile, [], { execArgv: [] });
    await once(worker, "message");
    return worker;
};

const resultOf = (worker: ChildProcess): Promise<Extract<WorkerReport, { type: "result" }>> =>
    new Promise((resolve, reject) => {
        worker.once("message", message => resolve(message as Extract<WorkerReport, { type: "result" }>));
        worker.once("exit", code => reject(new Error(`A load worker exited with code ${code} before its result.`)));
    });

const pause = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));

/**
 * Generates the load of a plan from `workers` processes and measures the resource usage of other processes meanwhile.
 * Resolves when all requests have ended.
 *
 * @example
 * const { streams } = await runLoad({ seed: 1, durationMs: 5000, streams: [stream] }, { workers: 2, observe: [pid] });
 * streams.get("short")?.percentileMs(99);
 */
export const runLoad = async (
    input: LoadPlanInput,
    { workers = 1, observe = [] }: { workers?: number; observe?: readonly number[] } = {},
): Promise<LoadResult> => {
    const plan = loadPlanSchema.parse(input);
    const processes = await Promise.all(Array.from({ length: workers }, startWorker));
    try {
        const results = processes.map(resultOf);
        processes.forEach((worker, index) => worker.send({ type: "start", plan: planOfWorker(plan, index, workers) }));
        const all = Promise.all(results);
        // A worker that exits early fails the load immediately instead of at its end.
        await Promise.race([all, pause(plan.warmupMs)]);
        const before = observe.map(readUsage);
        await Promise.race([all, pause(plan.durationMs - plan.warmupMs)]);
        const after = observe.map(readUsage);
        const streams = new Map<string, LatencyRecorder>();
        for (const [name, record] of (await all).flatMap(({ records }) => records)) {
            const recorder = streams.get(name) ?? new LatencyRecorder(plan.bucketMs);
            streams.set(name, recorder);
            recorder.add(record);
        }
        const usage = new Map(observe.map((pid, index) => [pid, usageBetween(before[index], after[index])]));
        return { streams, usage };
    } finally {
        processes.forEach(worker => worker.kill("SIGKILL"));
    }
};
