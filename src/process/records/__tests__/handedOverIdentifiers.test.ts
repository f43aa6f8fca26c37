import { describe, expect, it } from "@jest/globals";
import { v7 as uuidv7 } from "uuid";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { parseIdentifier } from "../../../request/identifier.js";
import { IdentifierRecord, type Admission, type RunHandle } from "../identifierRecord.js";

const POSITION = 7;

const setUp = () => {
    const clock = new ManualClock();
    const record = new IdentifierRecord({ clock });
    const request = () => ({
        service: "orders",
        position: POSITION,
        identifier: parseIdentifier(uuidv7({ msecs: clock.wallMs() }))._unsafeUnwrap(),
        fingerprint: new Uint8Array(32),
        authoritySinceMs: 0,
    });
    const exported = () => record.exportSlices("orders", [[0, 100]], 0).length;
    return { record, request, exported };
};

const handleOf = (admission: Admission): RunHandle => {
    if (admission.type !== "run") {
        throw new Error(`The request was not admitted: ${admission.type}.`);
    }
    return admission.handle;
};

describe("the handover of an identifier record", () => {
    // The receiving dispatcher would otherwise refuse a request that waits during a move as already run.
    it("omits requests that can't have run", () => {
        const { record, request, exported } = setUp();
        handleOf(record.admit(request())).setMayHaveRun(() => false);
        expect(exported()).toBe(0);
    });

    // The receiving dispatcher would otherwise run them a second time.
    it("contains requests that may be running, and those whose state is unknown", () => {
        const { record, request, exported } = setUp();
        handleOf(record.admit(request())).setMayHaveRun(() => true);
        handleOf(record.admit(request()));
        const ended = handleOf(record.admit(request()));
        ended.setMayHaveRun(() => false);
        ended.settle({ type: "unknown" });
        expect(exported()).toBe(3);
    });
});
