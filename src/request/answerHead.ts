import type { Header } from "../connection/peerProtocol.js";

/** Status and headers of an answer. */
export interface AnswerHead {
    status: number;
    headers: Header[];
}

/**
 * Whether an answer states its own end, so that a truncated answer is detected.
 *
 * @example
 * isFramed({ status: 200, headers: [{ name: "content-length", value: "4" }] }); // true
 */
export const isFramed = ({ status, headers }: AnswerHead): boolean =>
    status === 204 || status === 304 || headers.some(header => statesEnd(header));

/** Whether a header makes an answer state its end. Of the transfer codings, only chunks at the end do. */
const statesEnd = ({ name, value }: Header): boolean => {
    switch (name.toLowerCase()) {
        case "content-length":
            return true;
        case "transfer-encoding":
            return /(^|,)[ \t]*chunked[ \t]*$/i.test(value);
        default:
            return false;
    }
};
