import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";
import { KEY_COUNT } from "./keyMap.js";

/** Maximum number of keys and of targets in one datagram, so that it isn't fragmented. */
const MAX_KEYS = 100;
const MAX_TARGETS = 10;
/** Maximum number of requests or answers that one entry of a report may state; limits the effect of a corrupt report. */
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
            /** Start time of the target's process in Unix milliseconds. */
            startedAtMs: z.number(),
            /** Answers since the last report. */
            answers: z.number().int().positive().max(MAX_REQUESTS),
            /** Mean service time of these answers in milliseconds, without waiting. */
            serviceMs: z.number().positive(),
            /** Ratio of running and waiting requests to the slots. */
            pressure: z.number().min(0),
        }),
    ),
});
/** Load of a service that an instance has seen since its last report. */
export type LoadReport = z.infer<typeof loadReportSchema>;
export type TargetReport = LoadReport["targets"][number];

const encode = (report: LoadReport): Buffer => Buffer.from(JSON.stringify(report));

const chunksOf = <Entry>(entries: readonly Entry[], size: number): Entry[][] =>
    Array.from({ length: Math.ceil(entries.length / size) }, (_, index) =>
        entries.slice(index * size, (index + 1) * size),
    );

/**
 * Encodes a report as datagrams, each of which is a complete report.
 *
 * @example
 * encodeLoadReport({ service: "stock", keys: [[4711, 3]], targets: [] }); // [<Buffer ...>]
 */
export const encodeLoadReport = ({ service, keys, targets }: LoadReport): Buffer[] => [
    ...chunksOf(keys, MAX_KEYS).map(part => encode({ service, keys: part, targets: [] })),
    ...chunksOf(targets, MAX_TARGETS).map(part => encode({ service, keys: [], targets: part })),
];

/** Decodes a report; `undefined` if the bytes aren't a valid one. */
export const decodeLoadReport = (content: Buffer): LoadReport | undefined =>
    loadReportSchema.safeParse(parseJson(content.toString())).data;
