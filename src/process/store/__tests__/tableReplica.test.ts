import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { targetRowSchema, type TargetRow, type VersionedRow } from "../rows.js";
import { TableReplica } from "../tableReplica.js";

const rowOf = (version: number): VersionedRow => {
    const value: TargetRow = {
        service: "stock",
        target: "t1",
        domain: "d1",
        address: "127.0.0.1:1",
        slices: [[0, version]],
        dispatcher: "a1.00",
        term: version,
        state: "serving",
        attempt: "",
    };
    return { key: "target/stock/t1", version, value };
};

describe("TableReplica", () => {
    test("guards against an older row that replaces a newer one because it arrives late", () => {
        const versions = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 30 });
        fc.assert(
            fc.property(versions, arrivals => {
                const replica = new TableReplica();
                arrivals.forEach(version => replica.apply([rowOf(version)]));
                const newest = Math.max(...arrivals);
                expect(replica.get("target/stock/t1", targetRowSchema)?.value.term).toBe(newest);
                expect(replica.sliceMap("stock").ownerOf(newest - 1)?.term).toBe(newest);
                expect(replica.sliceMap("stock").ownerOf(newest)).toBeUndefined();
            }),
            { seed: 4 },
        );
    });

    test("guards against an outdated cached list after a row was changed, added or deleted", () => {
        const replica = new TableReplica();
        const listed = () => [replica.targets("stock"), replica.allTargets()].map(rows => rows.map(row => row.version));
        expect(listed()).toEqual([[], []]);
        replica.apply([rowOf(3)]);
        expect(listed()).toEqual([[3], [3]]);
        replica.apply([rowOf(4)]);
        expect(listed()).toEqual([[4], [4]]);
        replica.apply([{ key: "target/stock/t1", version: 5, value: undefined }]);
        expect(listed()).toEqual([[], []]);
    });

    test("guards against a deleted row that is restored by a peer's older copy", () => {
        const replica = new TableReplica();
        replica.apply([rowOf(3)]);
        replica.apply([{ key: "target/stock/t1", version: 5, value: undefined }]);
        expect(replica.apply([rowOf(4)])).toEqual([]);
        expect(replica.get("target/stock/t1", targetRowSchema)).toBeUndefined();
        expect(replica.conditionVersion("target/stock/t1")).toBe(0);
    });
});
