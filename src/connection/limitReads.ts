import type { Socket } from "node:net";

/** Size of the pieces in which bytes with many lines are read, in bytes. */
const PIECE_BYTES = 2_048;
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

/** Limit on what a connection reads. */
export interface ReadLimit {
    /** Whether an answer is excessive, by the number of bytes read since the last write. */
    isExcessive: (bytes: number) => boolean;
    /** Limit on the lines of heads and trailers; there is none when it is left out. */
    lines?: {
        /** Maximum number of lines that are read without any content. */
        max: number;
        /** Number of bytes of content since the last write. */
        contentBytes: () => number;
        /** Whether so many further bytes are content, by the length that the answer states. */
        areContent: (bytes: number) => boolean;
    };
    /** Whether nothing is to be read for now. */
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
    /** Number of buffered bytes that are still to be read in pieces. */
    let leftInPieces = 0;
    const read = socket.read.bind(socket);
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    const excessOf = (): string | undefined => {
        const bytes = socket.bytesRead - bytesReadBefore;
        if (isExcessive(bytes)) {
            return `${bytes} bytes`;
        }
        const contentBytes = lines?.contentBytes() ?? 0;
        if (contentBytes !== barren.contentBytes) {
            barren = { lines: 0, contentBytes };
        }
        return lines !== undefined && barren.lines > lines.max ? `${barren.lines} lines` : undefined;
    };
    socket.read = (size?: number) => {
        const excess = socket.destroyed ? undefined : excessOf();
        if (excess !== undefined) {
            socket.destroy(new ExcessiveReadError(excess));
            return null;
        }
        if (size !== undefined) {
            // Streams call this with 0 to have more buffered, and discard what it returns.
            return read(size) as unknown;
        }
        if (isPaused?.() === true) {
            return null;
        }
        const pieceBytes = Math.min(PIECE_BYTES, leftInPieces);
        // Without a size, more would be buffered for each piece.
        const bytes = read(pieceBytes > 0 ? pieceBytes : undefined) as Buffer | null;
        leftInPieces -= pieceBytes;
        if (bytes === null || lines?.areContent(bytes.length) === true) {
            return bytes;
        }
        const count = countLines(bytes, MAX_LINES_AT_ONCE);
        if (count <= MAX_LINES_AT_ONCE || bytes.length <= PIECE_BYTES) {
            barren.lines += count;
            return bytes;
        }
        const piece = bytes.subarray(0, PIECE_BYTES);
        barren.lines += countLines(piece, PIECE_BYTES);
        leftInPieces = bytes.length - PIECE_BYTES;
        socket.unshift(bytes.subarray(PIECE_BYTES));
        return piece;
    };
    socket.write = (...args: unknown[]) => {
        bytesReadBefore = socket.bytesRead;
        barren = { lines: 0, contentBytes: 0 };
        onWrite?.();
        return write(...args);
    };
};
