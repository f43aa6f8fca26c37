import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, test } from "@jest/globals";
import { PLAIN_POLICY, PRODUCT_POLICY, replay } from "../replay.js";
import { readReplayLoad, REPLAY_NAMES } from "../replayLoad.js";

const loadOf = (name: string) => readReplayLoad(name)._unsafeUnwrap();

describe("replay", () => {
    test.each(["uneven-speeds", "grey-target"])(
        "guards against a target selection that is no better than a random one, with the load %s",
        name => {
            for (const seed of [1, 2, 3, 4, 5]) {
                const product = replay(loadOf(name), seed, PRODUCT_POLICY);
                const plain = replay(loadOf(name), seed, PLAIN_POLICY);
                expect(product.asked).toBe(plain.asked);
                expect(product.worth).toBeGreaterThan(plain.worth);
                expect(product.worstSecond).toBeGreaterThan(plain.worstSecond);
            }
        },
    );

    // A target that resets connections when it is full leaves unknown whether a request has run.
    test.each([4, 21])(
        "guards against sends to a full owner of a busy key from three domains of %d instances",
        instances => {
            const load = { ...loadOf("hot-key-resets"), instances };
            for (const seed of [1, 2, 3]) {
                const product = replay(load, seed, PRODUCT_POLICY);
                const plain = replay(load, seed, PLAIN_POLICY);
                expect(product.failed).toBeLessThan(plain.failed / 2);
                expect(product.worth).toBeGreaterThan(plain.worth);
            }
        },
    );

    test("guards against requests that are counted twice or not at all, and runs that are not reproducible", () => {
        for (const name of REPLAY_NAMES) {
            const summary = replay(loadOf(name), 3, PRODUCT_POLICY);
            expect(summary.inTime + summary.late + summary.refused + summary.failed).toBe(summary.asked);
            expect(replay(loadOf(name), 3, PRODUCT_POLICY)).toEqual(summary);
        }
    });

    test("guards against an invalid file that is accepted, or rejected without a reason", () => {
        const file = join(mkdtempSync(join(tmpdir(), "sassafrasloom-")), "load.json");
        const load = {
            durationMs: 1_000,
            domains: ["a"],
            kinds: [{ name: "read", perSecond: 20, meanServiceMs: 50, targetLatencyMs: 200, deadlineMs: 900 }],
            targets: [{ domain: "a", slots: 2 }],
        };
        writeFileSync(file, JSON.stringify(load));
        expect(replay(loadOf(file), 1, PRODUCT_POLICY).asked).toBeGreaterThan(0);
        writeFileSync(file, JSON.stringify({ ...load, targets: [{ domain: "b", slots: 2 }] }));
        expect(readReplayLoad(file)._unsafeUnwrapErr().detail).toMatch(/one of the domains/);
        writeFileSync(file, "nonsense");
        expect(readReplayLoad(file).isErr()).toBe(true);
        expect(readReplayLoad("/nonexistent")._unsafeUnwrapErr().detail).toMatch(/grey-target/);
    });
});
