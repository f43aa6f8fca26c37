import { describe, expect, it } from "@jest/globals";
import { ok } from "neverthrow";
import { ManualClock } from "../../../../test/support/manualClock.js";
import type { TransactionResult } from "../../store/platformTable.js";
import type { Slice, TargetRow } from "../../store/rows.js";
import { SliceTransfer } from "../sliceTransfer.js";
import { TableReplica } from "../../store/tableReplica.js";
import type { TargetDispatcher } from "../../dispatch/targetDispatcher.js";

type TransferOptions = ConstructorParameters<typeof SliceTransfer>[0];

const SLICES: Slice[] = [[0, 4096]];
const LOST = "target/orders/t1";
const RECEIVER = "target/orders/t2";

const targetRow = (target: string, slices: Slice[], dispatcher: string): TargetRow => ({
    service: "orders",
    target,
    domain: "d1",
    address: "127.0.0.1:1",
    slices,
    dispatcher,
    term: 2,
    state: "serving",
    attempt: "",
});

/** A transfer whose dependencies record the order in which they are called. */
const setUp = () => {
    const steps: string[] = [];
    const replica = new TableReplica();
    replica.apply([
        { key: LOST, version: 1, value: targetRow("t1", SLICES, "a1") },
        { key: RECEIVER, version: 2, value: targetRow("t2", [], "a2") },
    ]);
    const link = { ask: async () => "true" };
    const transfer = new SliceTransfer({
        clock: new ManualClock(),
        replica,
        membership: {
            ownCondition: () => ({ key: "member/d1/a1", version: 1 }),
            identity: () => ({ incarnation: "a1" }),
        },
        peers: () => ({ controlLink: () => link, pushRows: () => undefined }),
        records: { export: () => steps.push("export") },
        transact: async () => {
            steps.push("transact");
            return ok<TransactionResult>({ type: "committed", rows: [] });
        },
    } as unknown as TransferOptions);
    const dispatcher = {
        key: LOST,
        service: {},
        keeper: { lost: true },
        row: () => ({}),
        hold: () => steps.push("hold"),
        unhold: () => steps.push("unhold"),
    } as unknown as TargetDispatcher;
    return { transfer, dispatcher, steps };
};

describe("SliceTransfer", () => {
    // Otherwise a target that answers again during the transfer could be sent a request that the receiver runs as well.
    it("holds requests from before the export of the records until a lost target's rows are written", async () => {
        const { transfer, dispatcher, steps } = setUp();
        await transfer.transferFromLost(dispatcher, new Map([[RECEIVER, SLICES]]));
        expect(steps).toEqual(["hold", "export", "transact", "unhold"]);
    });
});
