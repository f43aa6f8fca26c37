/**
 * Maximum size in bytes of what the process buffers for its streams. The smallest instance has 210 MB. An idle process takes 85 MB,
 * and 64 MB of request bodies, with the memory that is freed late, took it to 211 MB.
 */
export const MAX_STREAM_BYTES = 41_943_040;
/**
 * Share of it that bodies of requests and answers that aren't read may take together. The rest is left for answers that arrive, so
 * that other callers get theirs.
 */
const SLOW_SHARE = 0.75;
/** Time without progress after which a stream of a caller gives way to any other use, in milliseconds. */
const STALE_MS = 1_000;

/** What is buffered for a caller: the part of an answer that it hasn't read, or the part of a body that it has sent. */
export interface CallerStream {
    bytes: number;
    /** Monotonic time in milliseconds since which the caller has read or sent none of it. */
    since: number;
    /** Ends it. Its bytes are subtracted before. */
    cut: () => void;
}

/**
 * What the process buffers for slow callers and targets: bodies of requests, answers that are held until they are complete, and
 * answers that their callers don't read. When that is more than the limit, callers that have read or sent nothing for the longest
 * time are cut first.
 *
 * @example
 * memory.setArrived(body, bytes);
 * if (!memory.hasRoomForBodies(body)) { refuse(); }
 */
export class StreamMemory {
    /** Size of bodies and of answers that aren't read, in bytes. */
    private slowBytes = 0;
    /** Size of answers that are held until they are complete, in bytes. */
    private heldBytes = 0;
    /** Bodies that are in use, with the number of their uses. Each counts once. */
    private readonly bodies = new Map<Uint8Array, number>();
    /** Those without progress for the longest time come first. */
    private readonly streams = new Set<CallerStream>();

    constructor(
        private readonly limitBytes = MAX_STREAM_BYTES,
        private readonly now = () => performance.now(),
    ) {}

    /** Size of all that is buffered, in bytes. */
    get bytes(): number {
        return this.slowBytes + this.heldBytes;
    }

    /** Adds to the size of answers that are held until they are complete, or subtracts from it if the number is negative. */
    addHeld(bytes: number): void {
        this.heldBytes += bytes;
    }

    /** Sets how much of a body has arrived that isn't whole; 0 if it is or isn't needed. */
    setArrived(body: CallerStream, bytes: number): void {
        this.slowBytes += bytes - body.bytes;
        body.bytes = bytes;
        body.since = this.now();
        this.streams.delete(body);
        if (bytes > 0) {
            this.streams.add(body);
        }
    }

    /** Counts a body until it was released as often as it was retained. */
    retain(body: Uint8Array): void {
        if (body.length > 0) {
            const uses = this.bodies.get(body) ?? 0;
            this.bodies.set(body, uses + 1);
            this.slowBytes += uses === 0 ? body.length : 0;
        }
    }

    release(body: Uint8Array): void {
        const uses = this.bodies.get(body);
        if (uses === 1) {
            this.bodies.delete(body);
            this.slowBytes -= body.length;
        } else if (uses !== undefined) {
            this.bodies.set(body, uses - 1);
        }
    }

    /** Sets how much of an answer is unread, and cuts streams if that is too much. */
    setUnread(answer: CallerStream, bytes: number): void {
        const grows = bytes > answer.bytes;
        this.slowBytes += bytes - answer.bytes;
        if (answer.bytes === 0 || bytes < answer.bytes) {
            answer.since = this.now();
            this.streams.delete(answer);
        }
        answer.bytes = bytes;
        if (bytes > 0) {
            this.streams.add(answer);
        }
        if (grows) {
            this.cutStreams(
                () => this.hasRoom,
                () => true,
            );
        }
    }

    /** Whether there is room for answers that arrive. Cuts streams without progress if there is none. */
    hasRoomForAnswers(): boolean {
        return this.makeRoom(() => this.bytes <= this.limitBytes);
    }

    /**
     * Whether there is room for bodies of requests, likewise. A body that is the only slow stream may be larger, since the limits for
     * callers allow it and no other instance could take it either.
     */
    hasRoomForBodies(body?: CallerStream): boolean {
        return this.makeRoom(() => this.hasRoom || (body !== undefined && this.slowBytes === body.bytes));
    }

    /** Whether neither the slow streams nor all together take more than they may. */
    private get hasRoom(): boolean {
        return this.slowBytes <= this.limitBytes * SLOW_SHARE && this.bytes <= this.limitBytes;
    }

    private makeRoom(suffices: () => boolean): boolean {
        const staleSince = this.now() - STALE_MS;
        this.cutStreams(suffices, ({ since }) => since <= staleSince);
        return suffices();
    }

    /** Cuts streams until that suffices, those without progress for the longest time first. */
    private cutStreams(suffices: () => boolean, mayCut: (stream: CallerStream) => boolean): void {
        for (const stream of this.streams) {
            if (suffices() || !mayCut(stream)) {
                return;
            }
            this.streams.delete(stream);
            this.slowBytes -= stream.bytes;
            stream.bytes = 0;
            stream.cut();
        }
    }
}

/** Memory of all streams of this process. */
export const processMemory = new StreamMemory();
