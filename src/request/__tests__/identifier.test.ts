import { describe, expect, test } from "@jest/globals";
import { v4, v7 } from "uuid";
import { parseIdentifier } from "../identifier.js";

describe("parseIdentifier", () => {
    test("guards against a wrong timestamp and against different spellings of an identifier being distinct", () => {
        const text = v7({ msecs: 1_800_000_000_123 });
        const parsed = parseIdentifier(text.toUpperCase())._unsafeUnwrap();
        expect(parsed.timeMs).toBe(1_800_000_000_123);
        expect(parsed.text).toBe(text);
    });

    test("guards against accepting opaque identifiers and other UUID versions, which have no timestamp", () => {
        for (const text of ["", "order-7", "{01932c07-209c-7000-8000-000000000001}", `${v7()} `, "x".repeat(10_000)]) {
            expect(parseIdentifier(text)._unsafeUnwrapErr().type).toBe("identifier-malformed");
        }
        expect(parseIdentifier(v4())._unsafeUnwrapErr()).toMatchObject({ type: "identifier-not-version-7", found: 4 });
    });
});
