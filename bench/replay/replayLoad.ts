import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { parseJson } from "../../src/process/runtime/parseJson.js";

const positive = z.number().positive();

/** A load on one service for a simulation in virtual time. Times are in milliseconds. */
export const replayLoadSchema = z
    .object({
        durationMs: positive.max(600_000),
        /** Whether each key is owned by one target, so that no other target can run its requests. */
        keyed: z.boolean().default(false),
        /** Instances in each domain. */
        instances: z.number().int().positive().max(400).default(2),
        /** Share of the requests whose keys belong to the first target, and the time in which it has them. */
        hotKey: z.object({ share: z.number().min(0).max(1), fromMs: z.number().min(0), toMs: positive }).optional(),
        /** Failure domains; callers send to an instance of their own domain. */
        domains: z.array(z.string()).min(1),
        kinds: z
            .array(
                z.object({
                    name: z.string(),
                    /** Requests per second from each domain. */
                    perSecond: positive.max(5_000),
                    meanServiceMs: positive,
                    /** Target latency, within which an answer has its full worth. */
                    targetLatencyMs: positive,
                    /** Time after which the caller no longer waits for an answer. */
                    deadlineMs: positive,
                    worth: positive.default(1),
                    lateWorth: z.number().min(0).default(0.3),
                    /** Maximum number of retries after refusals. */
                    retries: z.number().int().min(0).max(10).default(2),
                }),
            )
            .min(1),
        targets: z
            .array(
                z.object({
                    domain: z.string(),
                    slots: z.number().int().positive(),
                    /** Maximum number of queued requests; further ones are turned away. */
                    queue: z.number().int().min(0).default(12),
                    /** Whether it resets the connection of a request that it turns away, so that its caller fails. */
                    resets: z.boolean().default(false),
                    /** Time after which its instance gives up a request that it drops without an answer when it is full; missing if it answers. */
                    silentMs: positive.optional(),
                    /** Neighbours that slow it by a factor for a share of the time, which changes at an interval. */
                    neighbours: z
                        .object({ factor: positive, share: z.number().min(0).max(1), everyMs: positive })
                        .optional(),
                    /** Time from which its speed is multiplied by `slowTo`. */
                    slowFromMs: z.number().min(0).default(Infinity),
                    slowTo: positive.default(1),
                    /** Speed factor; service times are divided by it. */
                    speed: positive.default(1),
                    /** Share of requests that fail. */
                    failShare: z.number().min(0).max(1).default(0),
                }),
            )
            .min(1),
        /** Load peaks, in which the arrival rate is multiplied by a factor. */
        crests: z.array(z.object({ fromMs: z.number().min(0), toMs: positive, factor: positive })).default([]),
    })
    .refine(({ domains, targets }) => targets.every(({ domain }) => domains.includes(domain)), {
        message: "Each target must be in one of the domains.",
        path: ["targets"],
    });
export type ReplayLoad = z.infer<typeof replayLoadSchema>;

const lookup = { name: "lookup", meanServiceMs: 100, targetLatencyMs: 400, deadlineMs: 1_500, lateWorth: 0.3 };
const order = { ...lookup, name: "order", meanServiceMs: 140, targetLatencyMs: 550, deadlineMs: 2_500, worth: 2 };
const DOMAINS = ["a", "b", "c"];

const evenTargets = (count: number, change: (index: number) => object = () => ({})): unknown[] =>
    Array.from({ length: count }, (_, index) => ({ domain: DOMAINS[index % 3], slots: 6, ...change(index) }));

const BUILT_IN_LOADS: Record<string, unknown> = {
    /** A load peak above the capacity that lasts longer than the targets' queues can absorb. */
    crest: {
        durationMs: 12_000,
        domains: DOMAINS,
        kinds: [
            { ...lookup, perSecond: 60 },
            { ...order, perSecond: 25 },
        ],
        targets: evenTargets(6),
        crests: [{ fromMs: 3_000, toMs: 7_000, factor: 2 }],
    },
    /** The same with one owner per key, so that other targets can't take load from a busy owner. */
    "keyed-crest": {
        durationMs: 12_000,
        keyed: true,
        domains: DOMAINS,
        kinds: [{ ...lookup, perSecond: 80 }],
        targets: evenTargets(6),
        crests: [{ fromMs: 3_000, toMs: 7_000, factor: 2 }],
    },
    /** A key that has more requests than its owner can take, which resets connections when it is full. */
    "hot-key-resets": {
        durationMs: 12_000,
        keyed: true,
        instances: 4,
        hotKey: { share: 0.3, fromMs: 3_000, toMs: 8_000 },
        domains: DOMAINS,
        kinds: [
            { ...lookup, perSecond: 60 },
            { ...order, perSecond: 25 },
        ],
        targets: evenTargets(12, () => ({ resets: true, queue: 24 })),
    },
    /** Targets of different speeds, with a load below the capacity. */
    "uneven-speeds": {
        durationMs: 12_000,
        domains: DOMAINS,
        kinds: [{ ...lookup, perSecond: 90 }],
        targets: evenTargets(9, index => ({ speed: [0.4, 1, 1.6][Math.floor(index / 3)] })),
    },
    /** A target that responds quickly but fails most of its requests. */
    "grey-target": {
        durationMs: 12_000,
        domains: DOMAINS,
        kinds: [{ ...lookup, perSecond: 60 }],
        targets: evenTargets(6, index => (index === 0 ? { failShare: 0.8, speed: 4 } : {})),
    },
};

/** Names of the built-in loads. */
export const REPLAY_NAMES: readonly string[] = Object.keys(BUILT_IN_LOADS);

/** Reason why a load can't be read. */
export interface ReplayLoadProblem {
    type: "bad-load";
    detail: string;
}

/**
 * Returns the built-in load of this name, or reads a load from a JSON file.
 *
 * @example
 * readReplayLoad("crest");
 * readReplayLoad("monday.json");
 */
export const readReplayLoad = (nameOrFile: string): Result<ReplayLoad, ReplayLoadProblem> => {
    if (nameOrFile in BUILT_IN_LOADS) {
        return ok(replayLoadSchema.parse(BUILT_IN_LOADS[nameOrFile]));
    }
    let text: string;
    try {
        text = readFileSync(nameOrFile, "utf8");
    } catch (error) {
        const cause = error instanceof Error ? error.message : String(error);
        const detail = `${cause}. Expected a JSON file or one of ${REPLAY_NAMES.join(", ")}.`;
        return err({ type: "bad-load", detail });
    }
    const parsed = replayLoadSchema.safeParse(parseJson(text));
    return parsed.success
        ? ok(parsed.data)
        : err({ type: "bad-load", detail: `${nameOrFile}: ${z.prettifyError(parsed.error)}` });
};
