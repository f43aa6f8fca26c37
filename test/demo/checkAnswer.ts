import { z } from "zod";
import { answerTag, taggedBody } from "../support/answerBody.js";
import { parseJson } from "../support/httpSupport.js";
import type { DemoRequest } from "./demoRequest.js";

/** Fault of an answer that was forwarded as complete. */
export type AnswerFault = "incomplete" | "not-own";

/** Echo that the demo's targets answer when the request doesn't specify an answer size. */
const echoSchema = z.object({
    service: z.string(),
    method: z.string(),
    path: z.string(),
    key: z.string().optional(),
    identifier: z.string().optional(),
});

/**
 * Compares a complete answer with the expected answer of the demo's targets; `undefined` if it matches.
 *
 * @example
 * checkAnswer(request, identifier, reply.body); // "not-own"
 */
export const checkAnswer = (
    request: DemoRequest,
    identifier: string | undefined,
    body: Buffer,
): AnswerFault | undefined => {
    if (request.method === "HEAD") {
        return undefined;
    }
    const bytes = new URL(request.path, "http://target").searchParams.get("bytes");
    if (bytes !== null) {
        const expected = taggedBody(answerTag({ identifier, path: request.path }), Number(bytes));
        if (body.equals(expected)) {
            return undefined;
        }
        return expected.subarray(0, body.byteLength).equals(body) ? "incomplete" : "not-own";
    }
    const echo = echoSchema.safeParse(parseJson(body.toString()));
    if (!echo.success) {
        return "incomplete";
    }
    const { service, method, path, key } = echo.data;
    const isOwn =
        service === request.service &&
        method === request.method &&
        path === request.path &&
        echo.data.identifier === identifier &&
        // Targets receive percent-encoded keys, and none for services that aren't divided by key.
        (key === undefined || key === encodeURIComponent(request.key ?? ""));
    return isOwn ? undefined : "not-own";
};
