import { CODECS } from "../../../platform/codecs.js";
import {
    decodeForwardedHeaders,
    decodeForwardFields,
    encodeForwardedHead,
    encodeForwardFields,
    FORWARD_HEADER,
    FORWARDED_HEADER,
    type ForwardFields,
} from "../forwardFields.js";
import { isFramed } from "../answerHead.js";

const FIELDS: ForwardFields = {
    target: "stock-1",
    startedAtMs: 1_700_000_000_000,
    address: "10.0.0.9:8080",
    ageMs: 12.5,
    targetLatencyMs: 500,
    isIdempotent: true,
    isAdmitted: false,
};

describe("the header of a forwarded request", () => {
    it("is read as it was written, in place of one that the caller has sent", () => {
        const headers = encodeForwardFields(
            ["accept", "*/*", "Sassafrasloom-Forward", "{}", "x-a", FORWARD_HEADER],
            FIELDS,
        );
        expect(headers.slice(0, 4)).toEqual(["accept", "*/*", "x-a", FORWARD_HEADER]);
        expect(headers.filter((name, index) => index % 2 === 0 && name === FORWARD_HEADER)).toHaveLength(1);
        expect(decodeForwardFields({ [FORWARD_HEADER]: headers.at(-1) })).toEqual(FIELDS);
    });

    it("isn't read if it is missing or incomplete", () => {
        expect(decodeForwardFields({})).toBeUndefined();
        expect(decodeForwardFields({ [FORWARD_HEADER]: '{"target":"stock-1"}' })).toBeUndefined();
        expect(decodeForwardFields({ [FORWARD_HEADER]: "odd" })).toBeUndefined();
    });
});

describe("the head of a forwarded answer", () => {
    const length = { name: "content-length", value: "5" };
    const signature = { name: "x-upstream-signature", value: "s" };

    it("is that of the target", () => {
        const { headers } = encodeForwardedHead({ status: 200, headers: [length, signature] });
        expect(decodeForwardedHeaders(headers)).toEqual([length, signature]);
    });

    it("states no end if the target has stated none, although the connection between the instances does", () => {
        const { headers } = encodeForwardedHead({ status: 200, headers: [signature] });
        const received = decodeForwardedHeaders([...headers, { name: "Transfer-Encoding", value: "chunked" }]) ?? [];
        expect(received).toEqual([signature]);
        expect(isFramed({ status: 200, headers: received })).toBe(false);
    });

    it("is no refusal of the other instance, whatever a target sends", () => {
        const odd = { name: "Sassafrasloom-Forwarded", value: "odd" };
        const { headers } = encodeForwardedHead({ status: 200, headers: [odd, length] });
        expect(headers.filter(({ name }) => name.toLowerCase() === FORWARDED_HEADER)).toHaveLength(1);
        expect(decodeForwardedHeaders([length])).toBeUndefined();
    });

    it("uses no name of the platform", () => {
        expect(CODECS.isReserved(FORWARD_HEADER)).toBe(false);
        expect(CODECS.isReserved(FORWARDED_HEADER)).toBe(false);
    });
});
