import type { Socket } from "node:net";

/** Limits on what is read of a connection in one iteration of the event loop. */
interface ReadTurn {
    /** Size in bytes after which reading is deferred; the piece that exceeds it is still read. */
    maxBytes: number;
    /** Number of parts of content after which reading is deferred, since each one takes time, however short it is. */
    maxParts: number;
    /** Number of parts of content that were received so far. */
    parts: () => number;
}

/**
 * Reads a limited part of a connection in one iteration of the event loop, and the rest in the next ones. Node.js reads up to
 * 2 MB of a connection at once while its reader keeps up, and accepts one connection in each iteration: a few fast senders
 * leave new connections waiting.
 *
 * @example
 * spreadReads(socket, { maxBytes: 65_536, maxParts: 256, parts: () => count });
 */
export const spreadReads = (socket: Socket, { maxBytes, maxParts, parts }: ReadTurn): void => {
    let bytes = 0;
    let partsBefore = 0;
    let isDeferred = false;
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    const readOn = () => {
        isDeferred = false;
        if (!socket.destroyed) {
            socket.emit("readable");
        }
    };
    socket.read = (size?: number) => {
        // Streams call this with 0 to have more buffered.
        if (size !== undefined) {
            return read(size);
        }
        if (isDeferred) {
            return null;
        }
        const hasManyParts = parts() - partsBefore >= maxParts;
        const chunk = hasManyParts ? null : read();
        bytes += chunk?.length ?? 0;
        if (hasManyParts || bytes >= maxBytes) {
            bytes = 0;
            partsBefore = parts();
            isDeferred = true;
            setImmediate(readOn);
        }
        return chunk;
    };
};
