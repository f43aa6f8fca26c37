import type { Writable } from "node:stream";

/**
 * Writes what is handed over at once as one chunk. An answer in thousands of short chunks would otherwise take a write, with its
 * own framing and buffers, for each of them.
 *
 * @example
 * const writes = new MergedWrites(response);
 * writes.write(first);
 * writes.write(second);
 */
export class MergedWrites {
    private parts: Uint8Array[] = [];

    constructor(
        private readonly stream: Pick<Writable, "write" | "writableNeedDrain">,
        /** Called after each write to the stream. */
        private readonly written: () => void = () => undefined,
    ) {}

    /** Returns whether the stream's buffer isn't full; `drain` is emitted when it has drained. */
    write(part: Uint8Array): boolean {
        if (this.parts.push(part) === 1) {
            queueMicrotask(() => this.flush());
        }
        return !this.stream.writableNeedDrain;
    }

    /** Writes the parts that were handed over. */
    flush(): void {
        const { parts } = this;
        this.parts = [];
        if (parts.length > 0) {
            this.stream.write(parts.length === 1 ? parts[0] : Buffer.concat(parts));
            this.written();
        }
    }

    /** Drops the parts that haven't been written. */
    discard(): void {
        this.parts = [];
    }
}
