import { randomBytes } from "node:crypto";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { v7 as uuidv7 } from "uuid";
import { systemClock } from "../../src/process/runtime/clock.js";
import { IdentifierRecord } from "../../src/process/records/identifierRecord.js";
import { targetRowKey, type TargetRow, type VersionedRow } from "../../src/process/store/rows.js";
import { initialLayout } from "../../src/process/ownership/sliceMap.js";
import { TableReplica } from "../../src/process/store/tableReplica.js";
import { parseIdentifier } from "../../src/request/identifier.js";
import { leastSquares, type FitPoint, type LinearFit } from "../support/leastSquares.js";

const SLICES_PER_TARGET = [16, 32, 64] as const;
const TARGETS = 580;
const IDENTIFIERS = [50_000, 100_000, 200_000] as const;
const LOOKUPS = 200_000;
const CHANGES = 20;

/** Forces a garbage collection, so that only live memory is compared. */
const collectGarbage = (): void => {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
};

const liveBytes = (): number => {
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
};

const targetRows = (slicesPerTarget: number): VersionedRow[] => {
    const names = Array.from({ length: TARGETS }, (_, index) => `stock-${index}`);
    const layout = initialLayout(names, slicesPerTarget);
    return names.map((target, index) => {
        const value: TargetRow = {
            service: "stock",
            target,
            domain: `d${index % 7}`,
            address: "10.0.0.1:8080",
            slices: layout.get(target) ?? [],
            dispatcher: "d1-e12.1083d5d8",
            term: 3,
            state: "serving",
            attempt: "0190a5c2-7d1e-7c3a-8f00-000000000000",
        };
        return { key: targetRowKey("stock", target), version: index + 1, value };
    });
};

/** Returns the shortest of five run times of `work` in microseconds, which other work on the machine disturbs least. */
const shortestUs = (work: () => void): number =>
    Math.min(
        ...Array.from({ length: 5 }, () => {
            const startedAt = performance.now();
            work();
            return (performance.now() - startedAt) * 1_000;
        }),
    );

const sliceSlopes = (): Record<string, FitPoint[]> => {
    const points: Record<string, FitPoint[]> = { memory: [], row: [], change: [], lookup: [] };
    for (const perTarget of SLICES_PER_TARGET) {
        const before = liveBytes();
        const replica = new TableReplica();
        // Parsed from JSON like received rows, so that the replica shares no memory with the original rows.
        replica.apply(JSON.parse(JSON.stringify(targetRows(perTarget))) as VersionedRow[]);
        replica.sliceMap("stock");
        const size = perTarget * TARGETS;
        points.memory.push({ size, cost: liveBytes() - before });
        points.row.push({ size: perTarget, cost: JSON.stringify(replica.all()[0]).length });
        let version = TARGETS;
        const row = replica.all()[0];
        const changes = shortestUs(() => {
            for (let change = 0; change < CHANGES; change++) {
                replica.apply([{ ...row, version: ++version }]);
                replica.sliceMap("stock");
            }
        });
        points.change.push({ size, cost: changes / CHANGES });
        const map = replica.sliceMap("stock");
        const lookups = shortestUs(() => {
            for (let lookup = 0; lookup < LOOKUPS; lookup++) {
                map.ownerOf((lookup * 2_654_435_761) >>> 0);
            }
        });
        points.lookup.push({ size, cost: lookups / LOOKUPS });
    }
    return points;
};

const identifierSlopes = (): Record<string, FitPoint[]> => {
    const points: Record<string, FitPoint[]> = { memory: [], admission: [] };
    for (const size of IDENTIFIERS) {
        const record = new IdentifierRecord({ clock: systemClock });
        const fingerprint = randomBytes(32);
        const requests = Array.from({ length: size }, (_, index) => ({
            service: "orders",
            position: index,
            identifier: parseIdentifier(uuidv7())._unsafeUnwrap(),
            fingerprint,
            authoritySinceMs: 0,
        }));
        const startedAt = performance.now();
        for (const request of requests) {
            const admission = record.admit(request);
            if (admission.type === "run") {
                admission.handle.settle({ type: "unknown" });
            }
        }
        const elapsedUs = (performance.now() - startedAt) * 1_000;
        // Uses the record's own memory figure, since the heap also contains the requests created here.
        points.memory.push({ size: record.usage().identifiers, cost: record.usage().tableBytes });
        points.admission.push({ size, cost: elapsedUs });
    }
    return points;
};

/** Measures memory and CPU time per slice and per recorded identifier, in this process without a cluster. */
export const memorySlopes = (): Record<string, LinearFit> => {
    const slices = sliceSlopes();
    const identifiers = identifierSlopes();
    return {
        bytesPerSliceOfReplica: leastSquares(slices.memory),
        rowBytesPerSlice: leastSquares(slices.row),
        cpuUsOfMapChangePerSlice: leastSquares(slices.change),
        cpuUsOfLookupPerSlice: leastSquares(slices.lookup),
        bytesPerRecordedIdentifier: leastSquares(identifiers.memory),
        cpuUsPerRecordedIdentifier: leastSquares(identifiers.admission),
    };
};
