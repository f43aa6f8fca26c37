import { z } from "zod";
import { parseJson } from "../process/runtime/parseJson.js";
import type { LogLine } from "./explainRequest.js";

const trafficSchema = z.record(
    z.string(),
    z.object({
        requests: z.number(),
        retries: z.record(z.string(), z.number()),
        granted: z.number(),
        refused: z.number(),
    }),
);

/** Requests and retries of a service in the window with the most retries, over all instances in the logs. */
export interface RetryWindow {
    service: string;
    /** Start of the window, in milliseconds since the Unix epoch. */
    fromMs: number;
    requests: number;
    retries: number;
    /** Retries by the end of the attempt before. */
    causes: Record<string, number>;
    /** Retries that the budgets granted. */
    granted: number;
    /** Retries that the budgets refused. */
    refused: number;
    /** Starts of processes in the window. */
    starts: number;
}

interface Sample {
    atMs: number;
    traffic: z.infer<typeof trafficSchema>[string];
}

const emptyWindow = (service: string, fromMs: number): RetryWindow => ({
    service,
    fromMs,
    requests: 0,
    retries: 0,
    causes: {},
    granted: 0,
    refused: 0,
    starts: 0,
});

const add = (window: RetryWindow, { traffic }: Sample): void => {
    window.requests += traffic.requests;
    window.granted += traffic.granted;
    window.refused += traffic.refused;
    for (const [cause, count] of Object.entries(traffic.retries)) {
        window.retries += count;
        window.causes[cause] = (window.causes[cause] ?? 0) + count;
    }
};

const samplesByService = (lines: readonly LogLine[]): Map<string, Sample[]> => {
    const samples = new Map<string, Sample[]>();
    for (const line of lines) {
        const parsed = trafficSchema.safeParse(typeof line.traffic === "string" ? parseJson(line.traffic) : undefined);
        if (!parsed.success) {
            continue;
        }
        for (const [service, traffic] of Object.entries(parsed.data)) {
            const ofService = samples.get(service) ?? [];
            ofService.push({ atMs: Date.parse(line.time), traffic });
            samples.set(service, ofService);
        }
    }
    return samples;
};

/**
 * Finds, for each service, the window in which the instances together sent the most retries. Lines cover one second, so a
 * window's bounds are exact to a second. What a killed process had counted since its last line is missing.
 *
 * @param windowMs length of a window in milliseconds
 *
 * @example
 * countRetries(readLogLines(text), 10_000)[0].causes; // { silent: 12, lost: 3 }
 */
export const countRetries = (lines: readonly LogLine[], windowMs: number): RetryWindow[] => {
    const startsAt = lines.filter(({ message }) => message === "daemon: Started.").map(({ time }) => Date.parse(time));
    return [...samplesByService(lines)].map(([service, samples]) => {
        samples.sort((one, other) => one.atMs - other.atMs);
        const windows = samples.map((first, index) => {
            const window = emptyWindow(service, first.atMs);
            for (let next = index; next < samples.length && samples[next].atMs < first.atMs + windowMs; next++) {
                add(window, samples[next]);
            }
            return window;
        });
        const most = windows.reduce((best, window) => (window.retries > best.retries ? window : best));
        const starts = startsAt.filter(atMs => atMs >= most.fromMs && atMs < most.fromMs + windowMs).length;
        return { ...most, starts };
    });
};
