/** 32-bit words of an entry: identifier (4), position, fingerprint (2), service with state, next in its chain. */
const STRIDE = 9;
const POSITION = 4;
const FINGERPRINT = 5;
const SERVICE_AND_STATE = 7;
const NEXT = 8;
const STATE_BITS = 3;
const NONE = 0xffff_ffff;
const FIRST_CAPACITY = 32;
/** Growth by a half keeps the unused part of a table under a third. */
const GROWTH = 1.5;

/** State of an entry. `free` entries are reused. */
export const ENTRY_STATES = ["free", "running", "answered", "unknown"] as const;
export type EntryState = (typeof ENTRY_STATES)[number];

/** What tells one recorded request from another: the identifier in its scope. */
export interface EntryKey {
    service: number;
    position: number;
    identifier: Uint8Array;
}

/** A recorded request as read from the table. */
export interface TableEntry extends EntryKey {
    index: number;
    state: EntryState;
    /** First 8 bytes of the fingerprint. */
    fingerprint: Uint8Array;
}

const wordOf = (bytes: Uint8Array, at: number): number =>
    ((bytes[at] << 24) | (bytes[at + 1] << 16) | (bytes[at + 2] << 8) | bytes[at + 3]) >>> 0;

/**
 * Compact hash table of recorded identifiers: 36 bytes an entry plus 2 to 4 for the index. A Map of objects would take
 * several times as much, and a dispatcher keeps 100,000 and more.
 *
 * @example
 * const index = table.insert({ service: 0, position: 7, identifier }, fingerprint, "running");
 * table.setState(index, "unknown");
 */
export class IdentifierTable {
    private words = new Uint32Array(FIRST_CAPACITY * STRIDE);
    private heads = new Uint32Array(FIRST_CAPACITY / 2).fill(NONE);
    private used = 0;
    private freeHead = NONE;
    private readonly salt = Math.floor(Math.random() * 2 ** 32);
    /** Entries that are not free. */
    size = 0;

    /** Bytes of the typed arrays. */
    get byteLength(): number {
        return this.words.byteLength + this.heads.byteLength;
    }

    /** Index of an entry, or `undefined`. Indexes stay the same until the entry is removed. */
    find(key: EntryKey): number | undefined {
        const id = [0, 4, 8, 12].map(at => wordOf(key.identifier, at));
        for (let index = this.heads[this.slotOf(id[2], id[3])]; index !== NONE;) {
            const at = index * STRIDE;
            const same =
                id.every((word, offset) => this.words[at + offset] === word) &&
                this.words[at + POSITION] === key.position &&
                this.words[at + SERVICE_AND_STATE] >>> STATE_BITS === key.service;
            if (same) {
                return index;
            }
            index = this.words[at + NEXT];
        }
        return undefined;
    }

    /** Adds an entry that is not in the table and returns its index. */
    insert(key: EntryKey, fingerprint: Uint8Array, state: EntryState): number {
        if (this.freeHead === NONE && this.used * STRIDE === this.words.length) {
            this.grow();
        }
        let index = this.used;
        if (this.freeHead === NONE) {
            this.used++;
        } else {
            index = this.freeHead;
            this.freeHead = this.words[index * STRIDE + NEXT];
        }
        const at = index * STRIDE;
        for (let word = 0; word < 4; word++) {
            this.words[at + word] = wordOf(key.identifier, word * 4);
        }
        this.words[at + POSITION] = key.position;
        this.words[at + FINGERPRINT] = wordOf(fingerprint, 0);
        this.words[at + FINGERPRINT + 1] = wordOf(fingerprint, 4);
        this.words[at + SERVICE_AND_STATE] = (key.service << STATE_BITS) | ENTRY_STATES.indexOf(state);
        this.link(index);
        this.size++;
        return index;
    }

    state(index: number): EntryState {
        return ENTRY_STATES[this.words[index * STRIDE + SERVICE_AND_STATE] & ((1 << STATE_BITS) - 1)];
    }

    setState(index: number, state: Exclude<EntryState, "free">): void {
        const at = index * STRIDE + SERVICE_AND_STATE;
        this.words[at] = ((this.words[at] >>> STATE_BITS) << STATE_BITS) | ENTRY_STATES.indexOf(state);
    }

    fingerprintMatches(index: number, fingerprint: Uint8Array): boolean {
        const at = index * STRIDE + FINGERPRINT;
        return this.words[at] === wordOf(fingerprint, 0) && this.words[at + 1] === wordOf(fingerprint, 4);
    }

    remove(index: number): void {
        const at = index * STRIDE;
        const slot = this.slotOf(this.words[at + 2], this.words[at + 3]);
        if (this.heads[slot] === index) {
            this.heads[slot] = this.words[at + NEXT];
        } else {
            let before = this.heads[slot];
            while (this.words[before * STRIDE + NEXT] !== index) {
                before = this.words[before * STRIDE + NEXT];
            }
            this.words[before * STRIDE + NEXT] = this.words[at + NEXT];
        }
        this.words[at + SERVICE_AND_STATE] = 0;
        this.words[at + NEXT] = this.freeHead;
        this.freeHead = index;
        this.size--;
    }

    /** All entries that are not free. */
    *entries(): Generator<TableEntry> {
        for (let index = 0; index < this.used; index++) {
            const state = this.state(index);
            if (state !== "free") {
                const at = index * STRIDE;
                yield {
                    index,
                    state,
                    service: this.words[at + SERVICE_AND_STATE] >>> STATE_BITS,
                    position: this.words[at + POSITION],
                    identifier: this.bytesAt(at, 4),
                    fingerprint: this.bytesAt(at + FINGERPRINT, 2),
                };
            }
        }
    }

    private bytesAt(at: number, count: number): Uint8Array {
        const bytes = Buffer.alloc(count * 4);
        for (let word = 0; word < count; word++) {
            bytes.writeUInt32BE(this.words[at + word], word * 4);
        }
        return bytes;
    }

    /** Salted, so that callers can't craft identifiers that all fall into one chain. */
    private slotOf(third: number, fourth: number): number {
        const salted = Math.imul(third ^ this.salt, 0x9e37_79b1);
        const mixed = Math.imul(fourth ^ salted ^ (salted >>> 15), 0x85eb_ca6b);
        return ((mixed ^ (mixed >>> 16)) >>> 0) % this.heads.length;
    }

    private link(index: number): void {
        const at = index * STRIDE;
        const slot = this.slotOf(this.words[at + 2], this.words[at + 3]);
        this.words[at + NEXT] = this.heads[slot];
        this.heads[slot] = index;
    }

    private grow(): void {
        const capacity = Math.ceil((this.words.length / STRIDE) * GROWTH);
        const words = new Uint32Array(capacity * STRIDE);
        words.set(this.words);
        this.words = words;
        this.heads = new Uint32Array(Math.ceil(capacity / 2)).fill(NONE);
        for (let index = 0; index < this.used; index++) {
            // No entry is free here: the table grows only when the list of free entries is empty.
            this.link(index);
        }
    }
}
