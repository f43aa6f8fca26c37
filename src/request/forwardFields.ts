import type { IncomingHttpHeaders } from "node:http";
import { z } from "zod";
import type { Header } from "../connection/peerProtocol.js";
import { parseJson } from "../process/runtime/parseJson.js";
import { isFramed, type AnswerHead } from "./answerHead.js";

/** Header of a request that an instance forwards to another one, which sends it to its target. */
export const FORWARD_HEADER = "sassafrasloom-forward";
/** Header of an answer that comes from the target. Answers without it are refusals of the instance that was to send the request. */
export const FORWARDED_HEADER = "sassafrasloom-forwarded";

/** Values of `FORWARDED_HEADER`: whether the target stated where its answer ends. */
const FRAMED = "framed";
const UNFRAMED = "unframed";
/** Headers that state where an answer ends. */
const FRAMING_HEADERS = new Set(["content-length", "transfer-encoding"]);

const forwardFieldsSchema = z.object({
    /** Identifier, start time in Unix milliseconds and address of the target's process. */
    target: z.string(),
    startedAtMs: z.number(),
    address: z.string(),
    /** Time since the caller's request arrived, in milliseconds. */
    ageMs: z.number().min(0),
    /** Time in which an answer of its route is expected, in milliseconds. */
    targetLatencyMs: z.number().min(0),
    /** Whether the request may run more than once. */
    isIdempotent: z.boolean(),
    /** Whether the limit of the target has admitted it. */
    isAdmitted: z.boolean(),
    /** Time in which it may be sent to its target, in milliseconds; missing if the target isn't evacuated. */
    sendWithinMs: z.number().min(0).optional(),
    /** Time for which the permit of a cold target may be used once the request has arrived, in milliseconds; otherwise missing. */
    permitMs: z.number().min(0).optional(),
});
/** What an instance decides about a request that it forwards. */
export type ForwardFields = z.infer<typeof forwardFieldsSchema>;

/**
 * Adds the header of a forwarded request to alternating names and values. One that the caller has sent is dropped.
 *
 * @example
 * encodeForwardFields(["accept", "application/json"], fields);
 */
export const encodeForwardFields = (headers: readonly string[], fields: ForwardFields): string[] => {
    const kept = headers.filter((_, index) => headers[index - (index % 2)].toLowerCase() !== FORWARD_HEADER);
    return [...kept, FORWARD_HEADER, JSON.stringify(fields)];
};

/** Decodes the header of a forwarded request; `undefined` if it is missing or not valid. */
export const decodeForwardFields = (headers: IncomingHttpHeaders): ForwardFields | undefined =>
    forwardFieldsSchema.safeParse(parseJson(String(headers[FORWARD_HEADER] ?? ""))).data;

/**
 * The head of a target's answer as it is returned to the instance that forwarded the request. Between instances each answer states
 * its end, so that one that ends early is noticed.
 */
export const encodeForwardedHead = (head: AnswerHead): AnswerHead => {
    const headers = head.headers.filter(({ name }) => name.toLowerCase() !== FORWARDED_HEADER);
    const added = isFramed(head)
        ? [{ name: FORWARDED_HEADER, value: FRAMED }]
        : [
              { name: FORWARDED_HEADER, value: UNFRAMED },
              { name: "transfer-encoding", value: "chunked" },
          ];
    return { status: head.status, headers: [...headers, ...added] };
};

/** The headers of the target's answer; `undefined` if the answer is a refusal of the instance that was to send the request. */
export const decodeForwardedHeaders = (headers: readonly Header[]): Header[] | undefined => {
    const forwarded = headers.find(({ name }) => name.toLowerCase() === FORWARDED_HEADER);
    if (forwarded === undefined) {
        return undefined;
    }
    return headers.filter(header => {
        const name = header.name.toLowerCase();
        return name !== FORWARDED_HEADER && (forwarded.value === FRAMED || !FRAMING_HEADERS.has(name));
    });
};
