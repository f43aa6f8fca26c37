import type { Socket } from "node:net";

/** Error of a connection that was closed because it read too much. */
export class ExcessiveReadError extends Error {
    readonly code = "EXCESSIVE_READ";

    constructor(readonly bytes: number) {
        super(`read ${bytes} bytes without an end of the answer`);
    }
}

/** Limit on what a connection reads. */
export interface ReadLimit {
    /** Whether an answer is excessive, by the number of bytes read since the last write. */
    isExcessive: (bytes: number) => boolean;
    /** Called before a write, with which the count of bytes starts anew. */
    onWrite?: () => void;
}

/**
 * Closes a connection that reads too much after its last write. An HTTP parser bounds the headers of an answer, but not what
 * can be around them: a status line, informational responses or chunk extensions without end.
 *
 * @example
 * limitReads(socket, { isExcessive: bytes => bytes > 1_048_576 });
 */
export const limitReads = (socket: Socket, { isExcessive, onWrite }: ReadLimit): void => {
    let bytesReadBefore = socket.bytesRead;
    const read = socket.read.bind(socket);
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    socket.read = (size?: number) => {
        const bytes = socket.bytesRead - bytesReadBefore;
        if (!socket.destroyed && isExcessive(bytes)) {
            socket.destroy(new ExcessiveReadError(bytes));
            return null;
        }
        return read(size) as unknown;
    };
    socket.write = (...args: unknown[]) => {
        bytesReadBefore = socket.bytesRead;
        onWrite?.();
        return write(...args);
    };
};
