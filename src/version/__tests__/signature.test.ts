import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { bundleText, signedBundle, SIGNERS } from "../../../test/support/bundleHarness.js";
import { signBundle, verifyBundle, verifySignature } from "../signature.js";

const TODAY_MS = Date.parse("2026-06-01T12:00:00Z");
const options = { signers: SIGNERS, wallMs: TODAY_MS, inForceVersion: 4 };

describe("verifyBundle", () => {
    test("guards against a refusal of the wrong type and against acceptance of an invalid bundle", () => {
        const { content, signature } = signedBundle(5);
        const typeOf = (...args: Parameters<typeof verifyBundle>) =>
            verifyBundle(...args).match(
                () => "accepted",
                ({ type }) => type,
            );
        expect(typeOf(content, signature, options)).toBe("accepted");
        expect(typeOf(content, undefined, options)).toBe("unsigned");
        expect(typeOf(bundleText(5, "other"), signature, options)).toBe("altered");
        expect(typeOf(content, { ...signature, author: "bela" }, options)).toBe("altered");
        expect(typeOf(content, signature, { ...options, signers: { bela: SIGNERS.bela } })).toBe("unlisted-signer");
        expect(typeOf(content, { ...signature, author: "constructor" }, options)).toBe("unlisted-signer");
        expect(typeOf(content, signature, { ...options, inForceVersion: 5 })).toBe("not-newer");
        expect(typeOf(content, signature, { ...options, inForceVersion: 6 })).toBe("not-newer");
        const lastMoment = Date.parse("2100-01-01T00:00:00Z") - 1;
        expect(typeOf(content, signature, { ...options, wallMs: lastMoment })).toBe("accepted");
        expect(typeOf(content, signature, { ...options, wallMs: lastMoment + 1 })).toBe("expired");
    });

    test("guards against a changed byte that doesn't invalidate the signature", () => {
        const { content, signature } = signedBundle(5);
        const place = fc.tuple(fc.nat({ max: content.length - 1 }), fc.integer({ min: 1, max: 255 }));
        fc.assert(
            fc.property(place, ([index, change]) => {
                const altered = Buffer.from(content);
                altered[index] ^= change;
                expect(verifyBundle(altered, signature, options)._unsafeUnwrapErr().type).toBe("altered");
            }),
            { seed: 11 },
        );
        const raised = { ...signature, version: 6 };
        expect(verifySignature(raised, SIGNERS)._unsafeUnwrapErr().type).toBe("altered");
    });

    test("guards against an error that quotes the key file", () => {
        const failure = signBundle(Buffer.from("x"), 1, "anna", "secret text")._unsafeUnwrapErr();
        expect(JSON.stringify(failure)).not.toContain("secret text");
    });
});
