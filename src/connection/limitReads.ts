import type { Socket } from "node:net";

/** Size of the pieces in which bytes with many lines are read, in bytes, and the same after pieces that had content. */
const PIECE_BYTES = 2_048;
const CONTENT_PIECE_BYTES = 8_192;
/** Maximum number of lines in what is read at once, as an HTTP parser handles each line of a head or a trailer on its own. */
const MAX_LINES_AT_ONCE = 256;
const LINE_FEED = 10;

/** Error of a connection that was closed because it read too much. */
export class ExcessiveReadError extends Error {
    readonly code = "EXCESSIVE_READ";

    constructor(amount: string) {
        super(`read ${amount} without an end of the answer`);
    }
}

/** Limit on the lines of heads and trailers. */
interface LineLimit {
    /** Maximum number of lines that are read without any content. */
    max: number;
    /** Number of bytes of content since the last write. */
    contentBytes: () => number;
    /** Whether so many further bytes are content, by the length that the answer states. */
    areContent: (bytes: number) => boolean;
}

/** Limit on what a connection reads. */
export interface ReadLimit {
    /** Whether an answer is excessive, by the number of bytes read since the last write. */
    isExcessive: (bytes: number) => boolean;
    /** There is no limit on lines when it is left out. */
    lines?: LineLimit;
    /** Whether reading is paused. */
    isPaused?: () => boolean;
    /** Called before a write, with which the counts start anew. */
    onWrite?: () => void;
}

/** Number of lines that end in the bytes, counted up to one more than the limit. */
const countLines = (bytes: Buffer, limit: number): number => {
    let count = 0;
    for (let at = bytes.indexOf(LINE_FEED); at >= 0 && count <= limit; at = bytes.indexOf(LINE_FEED, at + 1)) {
        count++;
    }
    return count;
};

/**
 * Closes a connection that reads too much after its last write. An HTTP parser bounds the size of the headers of an answer, but
 * not what can be around them (a status line, informational responses or chunk extensions without end), nor the work for
 * thousands of short lines. Bytes with many lines are read in pieces, since the parser handles all that it is given, even after
 * the connection was closed.
 *
 * @example
 * limitReads(socket, { isExcessive: bytes => bytes > 1_048_576 });
 */
export const limitReads = (socket: Socket, { isExcessive, lines, isPaused, onWrite }: ReadLimit): void => {
    let bytesReadBefore = socket.bytesRead;
    /** Lines that were read since there was content, and the number of bytes of content then. */
    let barren = { lines: 0, contentBytes: 0 };
    /** What was read last, as long as it isn't known whether there was content in it. */
    let last: Buffer | undefined;
    /** Number of buffered bytes that are still to be read in pieces. */
    let leftInPieces = 0;
    const read = socket.read.bind(socket);
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    /** Counts the lines of what was read last. Returns whether there was content in it. */
    const countLast = ({ max, contentBytes }: LineLimit): boolean => {
        const hadContent = contentBytes() !== barren.contentBytes;
        if (hadContent) {
            barren = { lines: 0, contentBytes: contentBytes() };
        } else if (last !== undefined) {
            barren.lines += countLines(last, max);
        }
        last = undefined;
        return hadContent;
    };
    /** Reads what is buffered, or a piece of it. */
    const readPiece = (maxBytes: number): Buffer | null => {
        const isContent = leftInPieces > 0 && lines?.areContent(leftInPieces) === true;
        const size = isContent ? leftInPieces : Math.min(maxBytes, leftInPieces);
        // Without a size, more would be buffered for each piece.
        const bytes = read(size > 0 ? size : undefined) as Buffer | null;
        leftInPieces -= size;
        const isWhole = bytes === null || bytes.length <= maxBytes || lines?.areContent(bytes.length) === true;
        if (isWhole || countLines(bytes, MAX_LINES_AT_ONCE) <= MAX_LINES_AT_ONCE) {
            return bytes;
        }
        leftInPieces = bytes.length - maxBytes;
        socket.unshift(bytes.subarray(maxBytes));
        return bytes.subarray(0, maxBytes);
    };
    socket.read = (size?: number) => {
        const bytes = socket.bytesRead - bytesReadBefore;
        if (!socket.destroyed && isExcessive(bytes)) {
            socket.destroy(new ExcessiveReadError(`${bytes} bytes`));
            return null;
        }
        if (size !== undefined) {
            // Streams call this with 0 to have more buffered, and discard what it returns.
            return read(size) as unknown;
        }
        if (isPaused?.() === true) {
            return null;
        }
        const hadContent = lines !== undefined && countLast(lines);
        if (!socket.destroyed && lines !== undefined && barren.lines > lines.max) {
            socket.destroy(new ExcessiveReadError(`${barren.lines} lines`));
            return null;
        }
        last = readPiece(hadContent ? CONTENT_PIECE_BYTES : PIECE_BYTES) ?? undefined;
        return last ?? null;
    };
    socket.write = (...args: unknown[]) => {
        bytesReadBefore = socket.bytesRead;
        barren = { lines: 0, contentBytes: 0 };
        last = undefined;
        onWrite?.();
        return write(...args);
    };
};
