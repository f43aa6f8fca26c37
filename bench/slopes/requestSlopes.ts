import { connect, type Socket } from "node:net";
import { benchBundle } from "../support/benchBundle.js";
import { BenchCluster } from "../support/benchCluster.js";
import { incarnationOf, keysByDispatcher } from "../support/benchKeys.js";
import { leastSquares, type FitPoint, type LinearFit } from "../support/leastSquares.js";
import { runLoad } from "../support/loadGenerator.js";
import { readUsage } from "../support/processUsage.js";
import { pause } from "../../test/support/waitFor.js";

const RATES = [200, 500, 1_000] as const;
const ANSWER_BYTES = [200, 16_384, 65_536, 262_144] as const;
const CONNECTIONS = [500, 1_000, 2_000] as const;
const ROUND_MS = 2_500;
const WARMUP_MS = 500;

/** Opens caller connections that stay open after one answered request. */
const openConnections = (address: string, count: number): Promise<Socket[]> => {
    const [host, port] = address.split(":");
    const open = () =>
        new Promise<Socket>((resolve, reject) => {
            const socket = connect(Number(port), host, () => socket.write("GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n"));
            socket.once("data", () => resolve(socket)).once("error", reject);
        });
    return Promise.all(Array.from({ length: count }, open));
};

/** Measures CPU time of entry and dispatcher per request and per answer byte, and memory per caller connection. */
export const requestSlopes = async (seed: number, progress: (text: string) => void) => {
    const cluster = await BenchCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 8, options: { slots: 16, keepLog: false } }],
        bundle: benchBundle([{ name: "stock", grants: "checked", slots: 16 }]),
        instancesPerDomain: 2,
    });
    const points: Record<string, FitPoint[]> = {};
    const addPoint = (name: string, size: number, cost: number) => {
        points[name] = [...(points[name] ?? []), { size, cost }];
    };
    try {
        const rows = await cluster.waitUntilOwned();
        const [dispatcher, entry] = cluster.instances;
        const keys = keysByDispatcher(rows, "stock", 4_000).get(incarnationOf(rows, dispatcher.name)) ?? [];
        const send = async (perSecond: number, bytes: number) => {
            const pids = [entry.program.pid, dispatcher.program.pid];
            const mode = { type: "open" as const, perSecond };
            const path = `/stock/:key?serviceMs=1&bytes=${bytes}`;
            const { streams, usage } = await runLoad(
                {
                    seed,
                    durationMs: ROUND_MS,
                    warmupMs: WARMUP_MS,
                    streams: [{ name: "reads", addresses: [entry.callers], path, keys, mode, connections: 64 }],
                },
                { observe: pids },
            );
            const answered = streams.get("reads")?.total.outcomes.answered ?? 0;
            const [entryMs, dispatcherMs] = pids.map(pid => usage.get(pid)?.cpuMs ?? NaN);
            const seconds = (ROUND_MS - WARMUP_MS) / 1_000;
            return { answeredPerSecond: answered / seconds, entryMs, dispatcherMs, answered, seconds };
        };
        // Warms up the JIT compiler, so that its cost doesn't count towards the first size.
        await send(1_000, 200);
        await send(1_000, 200);
        for (const rate of RATES) {
            const { answeredPerSecond, entryMs, dispatcherMs, seconds } = await send(rate, 200);
            addPoint("entryCpuMsPerRequest", answeredPerSecond, entryMs / seconds);
            addPoint("dispatcherCpuMsPerRequest", answeredPerSecond, dispatcherMs / seconds);
            progress(`requests ${rate}/s: entry ${entryMs.toFixed(0)} ms, dispatcher ${dispatcherMs.toFixed(0)} ms`);
        }
        for (const bytes of ANSWER_BYTES) {
            const { answered, entryMs, dispatcherMs } = await send(100, bytes);
            addPoint("entryCpuUsPerForwardedByte", bytes, (entryMs * 1_000) / answered);
            addPoint("dispatcherCpuUsPerForwardedByte", bytes, (dispatcherMs * 1_000) / answered);
        }
        const sockets: Socket[] = [];
        for (const count of CONNECTIONS) {
            sockets.push(...(await openConnections(entry.callers, count - sockets.length)));
            await pause(300);
            addPoint("residentBytesPerCallerConnection", count, readUsage(entry.program.pid).residentBytes);
        }
        sockets.forEach(socket => socket.destroy());
        return Object.fromEntries(
            Object.entries(points).map(([name, measured]): [string, LinearFit] => [name, leastSquares(measured)]),
        );
    } finally {
        await cluster.dispose();
    }
};
