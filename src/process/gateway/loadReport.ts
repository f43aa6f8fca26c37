import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";
import { KEY_COUNT } from "./keyMap.js";

/** Most keys and most targets of one datagram, so that it isn't split into fragments. */
const MAX_KEYS = 100;
const MAX_TARGETS = 10;
/** Most requests for a key that one report can state; bounds what a broken report does. */
const MAX_REQUESTS = 100_000;

const loadReportSchema = z.object({
    service: z.string(),
    /** Requests by key since the last report. */
    keys: z.array(
        z.tuple([
            z
                .number()
                .int()
                .min(0)
                .max(KEY_COUNT - 1),
            z.number().positive().max(MAX_REQUESTS),
        ]),
    ),
    targets: z.array(
        z.object({
            id: z.string(),
            /** Start of the target's process in Unix milliseconds. */
            startedAtMs: z.number(),
            /** Answers since the last report. */
            answers: z.number().int().positive().max(MAX_REQUESTS),
            /** Their mean service time in milliseconds, without waiting. */
            serviceMs: z.number().positive(),
            /** Requests running or waiting over the slots. */
            pressure: z.number().min(0),
        }),
    ),
});
/** What an instance saw of a service's load since its last report. */
export type LoadReport = z.infer<typeof loadReportSchema>;
export type TargetReport = LoadReport["targets"][number];

const encode = (report: LoadReport): Buffer => Buffer.from(JSON.stringify(report));

const chunksOf = <Entry>(entries: readonly Entry[], size: number): Entry[][] =>
    Array.from({ length: Math.ceil(entries.length / size) }, (_, index) =>
        entries.slice(index * size, (index + 1) * size),
    );

/**
 * Encodes a report as datagrams, each a report of its own.
 *
 * @example
 * encodeLoadReport({ service: "stock", keys: [[4711, 3]], targets: [] }); // [<Buffer ...>]
 */
export const encodeLoadReport = ({ service, keys, targets }: LoadReport): Buffer[] => [
    ...chunksOf(keys, MAX_KEYS).map(part => encode({ service, keys: part, targets: [] })),
    ...chunksOf(targets, MAX_TARGETS).map(part => encode({ service, keys: [], targets: part })),
];

/** Reads a report; `undefined` for bytes that are none. */
export const decodeLoadReport = (content: Buffer): LoadReport | undefined =>
    loadReportSchema.safeParse(parseJson(content.toString())).data;
