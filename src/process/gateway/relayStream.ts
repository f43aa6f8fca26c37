import { MAX_RELAY_BYTES, type RelayedChanges, type RelayedRow } from "./relayMessage.js";

/** Part of a datagram that is left for what surrounds the rows, in bytes. */
const FRAMING_BYTES = 200;

/** Changes that an instance has read from a table. */
export interface TableStep {
    era: number;
    /** Version up to which the table was known before, and up to which it has been read. */
    from: number;
    to: number;
    /** All changes in between; `undefined` if the whole table was read. */
    rows: RelayedRow[] | undefined;
}

/**
 * The changes of one table that an instance passes on. Each part states the version from which it continues, so a receiver
 * that has missed a part, or a row that is too large for a datagram, notices the gap and reads the store itself.
 *
 * @example
 * stream.add({ era: 0, from: 9, to: 17, rows: [{ key: "stock-7", version: 17, value: "eyJ9" }] });
 * stream.take(12); // [{ table: "servers", era: 0, from: 9, to: 17, ageMs: 12, rows: [...] }]
 */
export class RelayStream {
    private era = 0;
    private position = 0;
    /** Version of the latest change that was passed on; a receiver that has read up to it has missed nothing. */
    private passedOn = 0;
    private rows: RelayedRow[] = [];

    constructor(private readonly table: string) {}

    get hasChanges(): boolean {
        return this.rows.length > 0;
    }

    add({ era, from, to, rows }: TableStep): void {
        if (rows === undefined) {
            this.passedOn = to;
            this.rows = [];
        } else {
            if (from !== this.position) {
                // This instance knows changes that it hasn't read from the store and can't pass on.
                this.passedOn = from;
                this.rows = [];
            }
            this.rows.push(...rows);
        }
        this.era = era;
        this.position = to;
    }

    /** Returns the changes since the last call in parts that fit in a datagram each; at least one, which may have no rows. */
    take(ageMs: number): RelayedChanges[] {
        const parts: RelayedChanges[] = [];
        const begin = (from: number): RelayedChanges => ({
            ...{ table: this.table, era: this.era, from, to: from, ageMs: Math.round(ageMs), rows: [] },
        });
        let part = begin(this.passedOn);
        let bytes = 0;
        for (const group of this.byVersion()) {
            const size = JSON.stringify(group).length;
            const [{ version }] = group;
            if (size > MAX_RELAY_BYTES - FRAMING_BYTES) {
                // The gap has the receivers read the store.
                parts.push(part);
                part = begin(version);
                bytes = 0;
                continue;
            }
            if (bytes + size > MAX_RELAY_BYTES - FRAMING_BYTES) {
                parts.push(part);
                part = begin(part.to);
                bytes = 0;
            }
            part.rows.push(...group);
            part.to = version;
            bytes += size;
        }
        this.passedOn = Math.max(this.passedOn, this.rows.at(-1)?.version ?? 0);
        this.rows = [];
        return [...parts, { ...part, to: Math.max(part.to, this.position) }];
    }

    /** The rows in the order of their versions; rows of one transaction have the same version and stay together. */
    private byVersion(): RelayedRow[][] {
        this.rows.sort((a, b) => a.version - b.version);
        const groups: RelayedRow[][] = [];
        for (const row of this.rows) {
            const last = groups.at(-1);
            if (last?.[0].version === row.version) {
                last.push(row);
            } else {
                groups.push([row]);
            }
        }
        return groups;
    }
}
