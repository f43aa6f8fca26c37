import type { Socket } from "node:net";

/**
 * Reads about `maxBytes` of a connection in one iteration of the event loop, and the rest in the next ones. Node.js reads up to
 * 2 MB of a connection at once while its reader keeps up, and accepts one connection in each iteration: a few fast senders
 * leave new connections waiting.
 *
 * @param maxBytes size in bytes after which reading is deferred; the piece that exceeds it is still read
 *
 * @example
 * spreadReads(socket, 65_536);
 */
export const spreadReads = (socket: Socket, maxBytes: number): void => {
    let bytes = 0;
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
        const chunk = read();
        bytes += chunk?.length ?? 0;
        if (bytes >= maxBytes) {
            bytes = 0;
            isDeferred = true;
            setImmediate(readOn);
        }
        return chunk;
    };
};
