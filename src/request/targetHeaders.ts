import type { OpenFrame } from "../connection/peerProtocol.js";
import { DEADLINE_AT_HEADER, IDENTIFIER_HEADER, KEY_HEADER, POSITION_HEADER, TERM_HEADER } from "./outcome.js";

/**
 * Returns the headers of a request to its target. `deadlineAt` is a time of the target's clock in milliseconds. A
 * request that any target may run has no position.
 *
 * @example
 * targetHeaders(open, 7, 120_350.5)["sassafrasloom-term"]; // "7"
 */
export const targetHeaders = (open: OpenFrame, term: number, deadlineAt: number): Record<string, string> => {
    const headers: Record<string, string> = {};
    for (const { name, value } of open.headers) {
        headers[name] = value;
    }
    headers[TERM_HEADER] = String(term);
    headers[DEADLINE_AT_HEADER] = deadlineAt.toFixed(3);
    if (!open.anyOwner) {
        headers[POSITION_HEADER] = String(open.position);
    }
    if (open.key !== "") {
        headers[KEY_HEADER] = encodeURIComponent(open.key);
    }
    if (open.identifier !== "") {
        headers[IDENTIFIER_HEADER] = open.identifier;
    }
    return headers;
};
