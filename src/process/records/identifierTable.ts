/** 32-bit words per entry: identifier (4), position, fingerprint (2), service and state, next entry of the chain. */
const WORDS_PER_ENTRY = 9;
const POSITION_OFFSET = 4;
const FINGERPRINT_OFFSET = 5;
const SERVICE_AND_STATE_OFFSET = 7;
const NEXT_OFFSET = 8;
const STATE_BITS = 3;
const NONE = 0xffff_ffff;
const INITIAL_CAPACITY = 32;
/** Growing by a half keeps the unused part of a table below one third. */
const GROWTH_FACTOR = 1.5;

/** State of an entry. `free` entries are reused. */
export const ENTRY_STATES = ["free", "running", "answered", "unknown"] as const;
export type EntryState = (typeof ENTRY_STATES)[number];

/** Key of a recorded request: the identifier with its service and position. */
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
 * Compact hash table of recorded identifiers: 36 bytes per entry plus 2 to 4 for the hash index. A Map of objects would
 * take several times as much, and a dispatcher keeps 100,000 entries and more.
 *
 * @example
 * const index = table.insert({ service: 0, position: 7, identifier }, fingerprint, "running");
 * table.setState(index, "unknown");
 */
export class IdentifierTable {
    private words = new Uint32Array(INITIAL_CAPACITY * WORDS_PER_ENTRY);
    private heads = new Uint32Array(INITIAL_CAPACITY / 2).fill(NONE);
    private used = 0;
    private freeHead = NONE;
    private readonly salt = Math.floor(Math.random() * 2 ** 32);
    /** Number of entries that are not free. */
    size = 0;

    /** Size of the typed arrays in bytes. */
    get byteLength(): number {
        return this.words.byteLength + this.heads.byteLength;
    }

    /** Index of an entry, or `undefined`. An entry keeps its index until it is removed. */
    find(key: EntryKey): number | undefined {
        const id = [0, 4, 8, 12].map(at => wordOf(key.identifier, at));
        for (let index = this.heads[this.slotOf(id[2], id[3])]; index !== NONE;) {
            const at = index * WORDS_PER_ENTRY;
            const same =
                id.every((word, offset) => this.words[at + offset] === word) &&
                this.words[at + POSITION_OFFSET] === key.position &&
                this.words[at + SERVICE_AND_STATE_OFFSET] >>> STATE_BITS === key.service;
            if (same) {
                return index;
            }
            index = this.words[at + NEXT_OFFSET];
        }
        return undefined;
    }

    /** Adds an entry that is not in the table and returns its index. */
    insert(key: EntryKey, fingerprint: Uint8Array, state: EntryState): number {
        if (this.freeHead === NONE && this.used * WORDS_PER_ENTRY === this.words.length) {
            this.grow();
        }
        let index = this.used;
        if (this.freeHead === NONE) {
            this.used++;
        } else {
            index = this.freeHead;
            this.freeHead = this.words[index * WORDS_PER_ENTRY + NEXT_OFFSET];
        }
        const at = index * WORDS_PER_ENTRY;
        for (let word = 0; word < 4; word++) {
            this.words[at + word] = wordOf(key.identifier, word * 4);
        }
        this.words[at + POSITION_OFFSET] = key.position;
        this.words[at + FINGERPRINT_OFFSET] = wordOf(fingerprint, 0);
        this.words[at + FINGERPRINT_OFFSET + 1] = wordOf(fingerprint, 4);
        this.words[at + SERVICE_AND_STATE_OFFSET] = (key.service << STATE_BITS) | ENTRY_STATES.indexOf(state);
        this.link(index);
        this.size++;
        return index;
    }

    state(index: number): EntryState {
        return ENTRY_STATES[this.words[index * WORDS_PER_ENTRY + SERVICE_AND_STATE_OFFSET] & ((1 << STATE_BITS) - 1)];
    }

    setState(index: number, state: Exclude<EntryState, "free">): void {
        const at = index * WORDS_PER_ENTRY + SERVICE_AND_STATE_OFFSET;
        this.words[at] = ((this.words[at] >>> STATE_BITS) << STATE_BITS) | ENTRY_STATES.indexOf(state);
    }

    fingerprintMatches(index: number, fingerprint: Uint8Array): boolean {
        const at = index * WORDS_PER_ENTRY + FINGERPRINT_OFFSET;
        return this.words[at] === wordOf(fingerprint, 0) && this.words[at + 1] === wordOf(fingerprint, 4);
    }

    remove(index: number): void {
        const at = index * WORDS_PER_ENTRY;
        const slot = this.slotOf(this.words[at + 2], this.words[at + 3]);
        if (this.heads[slot] === index) {
            this.heads[slot] = this.words[at + NEXT_OFFSET];
        } else {
            let before = this.heads[slot];
            while (this.words[before * WORDS_PER_ENTRY + NEXT_OFFSET] !== index) {
                before = this.words[before * WORDS_PER_ENTRY + NEXT_OFFSET];
            }
            this.words[before * WORDS_PER_ENTRY + NEXT_OFFSET] = this.words[at + NEXT_OFFSET];
        }
        this.words[at + SERVICE_AND_STATE_OFFSET] = 0;
        this.words[at + NEXT_OFFSET] = this.freeHead;
        this.freeHead = index;
        this.size--;
    }

    /** All entries that are not free. */
    *entries(): Generator<TableEntry> {
        for (let index = 0; index < this.used; index++) {
            const state = this.state(index);
            if (state !== "free") {
                const at = index * WORDS_PER_ENTRY;
                yield {
                    index,
                    state,
                    service: this.words[at + SERVICE_AND_STATE_OFFSET] >>> STATE_BITS,
                    position: this.words[at + POSITION_OFFSET],
                    identifier: this.bytesAt(at, 4),
                    fingerprint: this.bytesAt(at + FINGERPRINT_OFFSET, 2),
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
        const at = index * WORDS_PER_ENTRY;
        const slot = this.slotOf(this.words[at + 2], this.words[at + 3]);
        this.words[at + NEXT_OFFSET] = this.heads[slot];
        this.heads[slot] = index;
    }

    private grow(): void {
        const capacity = Math.ceil((this.words.length / WORDS_PER_ENTRY) * GROWTH_FACTOR);
        const words = new Uint32Array(capacity * WORDS_PER_ENTRY);
        words.set(this.words);
        this.words = words;
        this.heads = new Uint32Array(Math.ceil(capacity / 2)).fill(NONE);
        for (let index = 0; index < this.used; index++) {
            // No entry is free here: the table grows only when the list of free entries is empty.
            this.link(index);
        }
    }
}
