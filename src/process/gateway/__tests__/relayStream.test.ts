import { MAX_RELAY_BYTES, type RelayedRow } from "../relayMessage.js";
import { RelayStream } from "../relayStream.js";

const rowOf = (version: number, bytes = 20): RelayedRow => ({ key: `k${version}`, version, value: "x".repeat(bytes) });
const ends = (stream: RelayStream) => stream.take(5).map(({ from, to, rows }) => [from, to, rows.length]);

describe("RelayStream", () => {
    it("continues from the latest change, so that a missed part without rows is no gap", () => {
        const stream = new RelayStream("t");
        stream.add({ era: 0, from: 10, to: 10, rows: undefined });
        stream.add({ era: 0, from: 10, to: 12, rows: [rowOf(11), rowOf(12)] });
        expect(ends(stream)).toEqual([[10, 12, 2]]);
        stream.add({ era: 0, from: 12, to: 20, rows: [] });
        expect(ends(stream)).toEqual([[12, 20, 0]]);
        expect(ends(stream)).toEqual([[12, 20, 0]]);
        stream.add({ era: 0, from: 20, to: 21, rows: [rowOf(21)] });
        expect(ends(stream)).toEqual([[12, 21, 1]]);
    });

    it("has parts that fit in a datagram, and keeps rows of one version together", () => {
        const stream = new RelayStream("t");
        const rows = Array.from({ length: 12 }, (_, index) => rowOf(1 + Math.floor(index / 3), 200));
        stream.add({ era: 0, from: 0, to: 9, rows });
        const parts = stream.take(0);
        parts.forEach(part => expect(JSON.stringify(part).length).toBeLessThanOrEqual(MAX_RELAY_BYTES));
        expect(parts.flatMap(part => part.rows)).toHaveLength(12);
        parts.slice(1).forEach((part, index) => expect(part.from).toBe(parts[index].to));
        expect(parts.at(-1)?.to).toBe(9);
        parts.forEach(part => part.rows.forEach(({ version }) => expect(version).toBeLessThanOrEqual(part.to)));
    });

    it("leaves a gap where a row is too large", () => {
        const stream = new RelayStream("t");
        stream.add({ era: 0, from: 0, to: 3, rows: [rowOf(1), rowOf(2, 5_000), rowOf(3)] });
        expect(ends(stream)).toEqual([
            [0, 1, 1],
            [2, 3, 1],
        ]);
    });

    it("passes on nothing from before the whole table was read", () => {
        const stream = new RelayStream("t");
        stream.add({ era: 0, from: 0, to: 3, rows: [rowOf(3)] });
        stream.add({ era: 1, from: 2, to: 2, rows: undefined });
        expect(stream.take(7)).toEqual([{ table: "t", era: 1, from: 2, to: 2, ageMs: 7, rows: [] }]);
    });

    it("continues from what was known when it began to be read, not from what was read earlier", () => {
        const stream = new RelayStream("t");
        stream.add({ era: 0, from: 10, to: 10, rows: undefined });
        // Versions 11 and 12 were relayed by another instance.
        stream.add({ era: 0, from: 12, to: 14, rows: [rowOf(14)] });
        expect(ends(stream)).toEqual([[12, 14, 1]]);
    });
});
