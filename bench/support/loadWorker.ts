import { seededRandom } from "../../test/support/seededRandom.js";
import { LatencyRecorder, type EncodedRecord } from "./latencyRecorder.js";
import type { LoadPlan } from "./loadPlan.js";
import { StreamSender } from "./streamSender.js";

/** The message to a worker process, and its messages: `ready`, then `result`. */
export type WorkerCommand = { type: "start"; plan: LoadPlan };
export type WorkerReport = { type: "ready" } | { type: "result"; records: [string, EncodedRecord][] };

const report = (message: WorkerReport): Promise<void> =>
    new Promise(resolve => process.send?.(message, () => resolve()));

const run = async ({ seed, streams, durationMs, warmupMs, bucketMs }: LoadPlan): Promise<void> => {
    const startAt = performance.now();
    const times = { startAt, recordFrom: startAt + warmupMs, endAt: startAt + durationMs };
    const recorders = new Map<string, LatencyRecorder>();
    const senders = streams.map((stream, index) => {
        const recorder = recorders.get(stream.name) ?? new LatencyRecorder(bucketMs);
        recorders.set(stream.name, recorder);
        return new StreamSender(stream, recorder, seededRandom(seed * 100 + (stream.draws ?? index)), times);
    });
    await Promise.all(senders.map(sender => sender.run()));
    await report({
        type: "result",
        records: [...recorders].map(([name, recorder]): [string, EncodedRecord] => [name, recorder.encode()]),
    });
    process.exit(0);
};

process.on("message", (command: WorkerCommand) => void run(command.plan));
process.on("disconnect", () => process.exit(0));
await report({ type: "ready" });
