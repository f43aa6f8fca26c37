import { err, ok, type Result } from "neverthrow";
import { parse, validate, version } from "uuid";
import { refuse, type Refusal } from "./refusal.js";

/** A parsed request identifier. */
export interface RequestIdentifier {
    /** Canonical text in lower case, so that different spellings of an identifier are equal. */
    text: string;
    /** The 16 bytes of the identifier. */
    bytes: Uint8Array;
    /** Timestamp of the identifier, in milliseconds since the Unix epoch. */
    timeMs: number;
}

/** Why a text is not a valid request identifier. */
export type IdentifierError =
    | { type: "identifier-malformed"; value: string }
    | { type: "identifier-not-version-7"; value: string; found: number };

/** Maximum number of characters of an invalid value that errors quote. */
const MAX_QUOTED_LENGTH = 64;

/**
 * Parses a UUIDv7 (RFC 9562). Errors: `identifier-malformed` if the text is not a UUID, `identifier-not-version-7` if
 * it is a UUID of another version.
 *
 * @example
 * parseIdentifier("01932c07-209c-7000-8000-000000000001").map(({ timeMs }) => new Date(timeMs));
 */
export const parseIdentifier = (text: string): Result<RequestIdentifier, IdentifierError> => {
    if (!validate(text)) {
        return err({ type: "identifier-malformed", value: text.slice(0, MAX_QUOTED_LENGTH) });
    }
    const found = version(text);
    if (found !== 7) {
        return err({ type: "identifier-not-version-7", value: text, found });
    }
    const bytes = parse(text);
    let timeMs = 0;
    // The timestamp is the first 48 bits. Multiplies instead of shifting, because shifts are limited to 32 bits.
    for (let index = 0; index < 6; index++) {
        timeMs = timeMs * 256 + bytes[index];
    }
    return ok({ text: text.toLowerCase(), bytes, timeMs });
};

/**
 * Returns the refusal for an invalid identifier.
 *
 * @example
 * parseIdentifier(header).mapErr(refusalOfIdentifierError);
 */
export const refusalOfIdentifierError = (error: IdentifierError): Refusal =>
    error.type === "identifier-malformed"
        ? refuse("bad-identifier", `Idempotency-Key ${JSON.stringify(error.value)} is not a UUID.`)
        : refuse("bad-identifier", `Idempotency-Key ${error.value} is a UUID of version ${error.found}.`);
