import { processMemory, type StreamMemory } from "../connection/streamMemory.js";

/** Maximum size of one answer that is held until it is complete, in bytes. */
export const MAX_HELD_ANSWER_BYTES = 1_048_576;
/** Maximum size of all answers that the process holds, in bytes. */
export const MAX_HELD_BYTES = 33_554_432;
/** Memory that a chunk takes in addition to its content, in bytes. */
const CHUNK_OVERHEAD_BYTES = 128;

/** Memory taken by all answers that are held until they are complete. */
export class HeldAnswers {
    private bytes = 0;

    constructor(
        private readonly limitBytes = MAX_HELD_BYTES,
        private readonly memory: StreamMemory = processMemory,
    ) {}

    /** Creates an empty answer. */
    create(): HeldAnswer {
        return new HeldAnswer(
            change => {
                this.bytes += change;
                this.memory.addHeld(change);
            },
            () => this.bytes > this.limitBytes || !this.memory.hasRoomForAnswers(),
        );
    }
}

/**
 * The content of one answer, held until it can be checked as a whole.
 *
 * @example
 * answer.add(chunk);
 * if (answer.isTooLarge()) { sent.abort("the answer is too large to be held"); }
 */
export class HeldAnswer {
    private chunks: Buffer[] = [];
    private bytes = 0;

    constructor(
        /** Called when the memory that the answer takes changes, with the difference in bytes. */
        private readonly changed: (bytes: number) => void,
        /** Whether all answers together take too much memory. */
        private readonly isFull: () => boolean,
    ) {}

    add(chunk: Uint8Array): void {
        this.chunks.push(Buffer.from(chunk));
        this.resize(chunk.length + CHUNK_OVERHEAD_BYTES);
    }

    /** Whether no more of the answer should be held. */
    isTooLarge(): boolean {
        return this.bytes > MAX_HELD_ANSWER_BYTES || this.isFull();
    }

    /** Returns the content and no longer holds it. */
    take(): Buffer[] {
        const { chunks } = this;
        this.chunks = [];
        this.resize(-this.bytes);
        return chunks;
    }

    private resize(bytes: number): void {
        this.bytes += bytes;
        this.changed(bytes);
    }
}
