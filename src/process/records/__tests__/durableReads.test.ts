import { beforeEach, describe, expect, test } from "@jest/globals";
import { ok, type Result } from "neverthrow";
import { v7 as uuidv7 } from "uuid";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { parseIdentifier } from "../../../request/identifier.js";
import type { BundleService } from "../../../version/bundle.js";
import type { PlatformError } from "../../store/platformError.js";
import { targetRowKey, type Slice, type TargetRow, type VersionedRow } from "../../store/rows.js";
import { ServiceRecords } from "../serviceRecords.js";

const SERVICE = {
    name: "payouts",
    grants: "checked",
    record: "durable",
    clockSkewMs: 500,
    identifierWindowMs: 120_000,
} as BundleService;
const KEY = targetRowKey("payouts", "t1");
const SLICES: Slice[] = [[0, 100]];
const POSITION = 7;
const FORMER = { incarnation: "a1.9c", lapsedAt: undefined };

type ScanReply = Result<{ rows: VersionedRow[] }, PlatformError>;

describe("reads of a durable record", () => {
    let clock: ManualClock;
    let records: ServiceRecords;
    /** Replies to the scans that have been started, in order. */
    let replies: ((reply: ScanReply) => void)[];
    let identifier: string;

    const admit = (position = POSITION) =>
        records.admit(SERVICE, {
            position,
            identifier: parseIdentifier(identifier)._unsafeUnwrap(),
            fingerprint: new Uint8Array(32),
        });

    const reply = async (scan: number, rows: VersionedRow[]) => {
        replies[scan](ok({ rows }));
        await new Promise(resolve => setImmediate(resolve));
    };

    /** Row of the record with the identifier, as another dispatcher writes it before it runs the request. */
    const recordedRow = (): VersionedRow => ({
        key: "record/payouts/t1/6-0",
        version: 9,
        value: {
            newestMs: clock.wallMs(),
            identifiers: [
                {
                    position: POSITION,
                    identifier: identifier.replaceAll("-", ""),
                    fingerprint: "0".repeat(16),
                },
            ],
            attempt: "",
        },
    });

    beforeEach(() => {
        clock = new ManualClock();
        replies = [];
        identifier = uuidv7({ msecs: clock.wallMs() });
        records = new ServiceRecords({
            clock,
            log: SILENT_LOGGER,
            transact: async () => ok({ type: "committed", rows: [] }),
            scan: () => new Promise<ScanReply>(resolve => replies.push(resolve)),
            heldRow: () => ({ version: 1, value: {} as TargetRow }),
            serviceOf: () => SERVICE,
        });
    });

    // The earlier read can't contain what another dispatcher ran between the loss and the return of the slices.
    test("guards against running again what another dispatcher ran while an earlier read was in progress", async () => {
        records.gained("payouts", SLICES, KEY, 5, FORMER, "");
        records.lost("payouts", SLICES);
        records.gained("payouts", SLICES, KEY, 7, FORMER, "");
        await reply(0, []);
        expect(admit()).toMatchObject({ type: "refuse", refusal: { type: "not-dispatcher" } });
        await reply(1, [recordedRow()]);
        expect(admit()).toMatchObject({ type: "refuse", refusal: { type: "already-run" } });
    });

    test("guards against refusing the slices that stay when others are lost during a read", async () => {
        records.gained("payouts", SLICES, KEY, 5, FORMER, "");
        records.lost("payouts", [[0, 50]]);
        await reply(0, []);
        expect(admit(7)).toMatchObject({ type: "refuse", refusal: { type: "not-dispatcher" } });
        expect(admit(70).type).toBe("run");
    });
});
