import { readdirSync, readFileSync } from "node:fs";

/** Page size of the machines that run benchmarks, the unit of `/proc/PID/statm`. */
const PAGE_BYTES = 4096;

/** Resource counters of a process at one time. */
export interface UsageReading {
    atMs: number;
    /** CPU time of the live threads since their start. */
    cpuMs: number;
    /** Bytes that system calls read or wrote since the start: files, and sockets without TCP and IP headers. */
    bytesRead: number;
    bytesWritten: number;
    residentBytes: number;
}

/** Resource usage of a process between two readings. */
export interface ProcessUsage {
    elapsedMs: number;
    cpuMs: number;
    bytesRead: number;
    bytesWritten: number;
    /** At the later reading. */
    residentBytes: number;
}

const fieldOf = (text: string, name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(text)?.[1]);

/**
 * Reads the counters of a running child process from `/proc`. Linux only.
 *
 * @example
 * const before = readUsage(pid);
 */
export const readUsage = (pid: number): UsageReading => {
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const nanoseconds = readdirSync(`/proc/${pid}/task`).reduce((sum, task) => {
        const [running] = readFileSync(`/proc/${pid}/task/${task}/schedstat`, "utf8").split(" ");
        return sum + Number(running);
    }, 0);
    const resident = Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]);
    return {
        atMs: performance.now(),
        cpuMs: nanoseconds / 1e6,
        bytesRead: fieldOf(io, "rchar"),
        bytesWritten: fieldOf(io, "wchar"),
        residentBytes: resident * PAGE_BYTES,
    };
};

/** Returns the difference between two readings of a process. */
export const usageBetween = (before: UsageReading, after: UsageReading): ProcessUsage => ({
    elapsedMs: after.atMs - before.atMs,
    cpuMs: after.cpuMs - before.cpuMs,
    bytesRead: after.bytesRead - before.bytesRead,
    bytesWritten: after.bytesWritten - before.bytesWritten,
    residentBytes: after.residentBytes,
});

/** Measures the resource usage of processes over a period. */
export const observeUsage = async (pids: readonly number[], durationMs: number): Promise<ProcessUsage[]> => {
    const before = pids.map(readUsage);
    await new Promise<void>(resolve => setTimeout(resolve, durationMs));
    return pids.map((pid, index) => usageBetween(before[index], readUsage(pid)));
};
