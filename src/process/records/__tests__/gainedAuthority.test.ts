import { describe, expect, it } from "@jest/globals";
import { v7 as uuidv7 } from "uuid";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { parseIdentifier } from "../../../request/identifier.js";
import type { BundleService } from "../../../version/bundle.js";
import { ServiceRecords } from "../serviceRecords.js";

const SERVICE = {
    name: "labelling",
    grants: "unchecked",
    record: "memory",
    clockSkewMs: 500,
    identifierWindowMs: 120_000,
} as BundleService;
const SKEWS_MS = 2 * SERVICE.clockSkewMs;
const WAIT_MS = 2_000;

describe("the record of slices that were taken over", () => {
    // With an instant at the takeover, every request that waited for it would be refused because it may have run.
    it("accepts identifiers from after the lapse of the former dispatcher, and none from before", () => {
        const clock = new ManualClock();
        const lapsedAt = clock.monotonicMs();
        const lapsedWallMs = clock.wallMs();
        clock.advance(WAIT_MS);
        const records = new ServiceRecords({
            clock,
            serviceOf: () => SERVICE,
        } as unknown as ConstructorParameters<typeof ServiceRecords>[0]);
        records.gained("labelling", [[0, 100]], "target/labelling/t1", 5, { incarnation: "a1.1f", lapsedAt });
        const admit = (msecs: number) =>
            records.admit(SERVICE, {
                position: 7,
                identifier: parseIdentifier(uuidv7({ msecs }))._unsafeUnwrap(),
                fingerprint: new Uint8Array(32),
            });
        expect(admit(lapsedWallMs + SKEWS_MS + 1).type).toBe("run");
        expect(admit(lapsedWallMs + SKEWS_MS)).toMatchObject({ refusal: { type: "identifier-before-term" } });
    });

    // Two instances that move slices to one target prepare handovers under the same term, and the later one replaces
    // the other. Requests for the other's slices were then refused as not-dispatcher until the slices moved again.
    it("sets the current time for slices that the handover doesn't cover", () => {
        const clock = new ManualClock();
        const records = new ServiceRecords({
            clock,
            serviceOf: () => SERVICE,
        } as unknown as ConstructorParameters<typeof ServiceRecords>[0]);
        const handOver = "target/labelling/t1@5";
        records.import({
            handOver,
            service: "labelling",
            authority: [{ slice: [0, 50], sinceMs: 0 }],
            identifiers: [],
        });
        records.gained("labelling", [[0, 100]], "target/labelling/t1", 5, undefined);
        const now = clock.wallMs();
        clock.advance(WAIT_MS);
        const admit = (position: number, msecs: number) =>
            records.admit(SERVICE, {
                position,
                identifier: parseIdentifier(uuidv7({ msecs }))._unsafeUnwrap(),
                fingerprint: new Uint8Array(32),
            });
        expect(admit(7, now).type).toBe("run");
        expect(admit(70, now)).toMatchObject({ refusal: { type: "identifier-before-term" } });
        expect(admit(70, now + SKEWS_MS + 1).type).toBe("run");
    });
});
