/** Header fields of a response by name, in lower case. */
type ResponseFields = Record<string, string | string[] | undefined>;

/** What a response is by its status. */
export type ResponseKind = "final" | "informational" | "invalid";

const FIRST_INFORMATIONAL = 100;
const FIRST_FINAL = 200;
const LAST_FINAL = 599;
/** Switches the protocol, which no request asks for. */
const SWITCHING_PROTOCOLS = 101;

/**
 * Classifies a response by its status (RFC 9110, section 15). The HTTP client takes any three digits as a status, and waits for a
 * further response after each one below 200. A response of 1xx has no content, so one that states content is meant as the final
 * one.
 *
 * @example
 * classifyResponse(103, {}); // "informational"
 * classifyResponse(199, { "content-length": "3" }); // "invalid"
 */
export const classifyResponse = (status: number, fields: ResponseFields): ResponseKind => {
    if (status >= FIRST_FINAL) {
        return status <= LAST_FINAL ? "final" : "invalid";
    }
    const hasContent = fields["content-length"] !== undefined || fields["transfer-encoding"] !== undefined;
    return status >= FIRST_INFORMATIONAL && status !== SWITCHING_PROTOCOLS && !hasContent ? "informational" : "invalid";
};

/** Error of a response whose status isn't valid. */
export class InvalidStatusError extends Error {
    readonly code = "INVALID_STATUS";

    constructor(status: number) {
        super(`the status ${String(status).padStart(3, "0")} is none of a response`);
    }
}
