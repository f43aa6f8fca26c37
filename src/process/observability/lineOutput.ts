import type { Writable } from "node:stream";

/** Maximum size of the lines buffered for a slow reader, in bytes; enough for a few thousand lines. */
export const DEFAULT_MAX_BUFFERED_BYTES = 524_288;

/** Writes lines to a stream without waiting for its reader. */
export interface LineOutput {
    /** Writes a line, or drops it if the buffer is full. */
    write(line: string): void;
}

/**
 * Creates an output with a bounded buffer: if the reader stalls, lines are dropped, and neither memory grows nor the
 * writer blocks. Once the reader continues, the line returned by `describeLoss` reports how many lines were dropped.
 *
 * @example
 * const output = createLineOutput(process.stdout, { describeLoss: count => `${count} lines were dropped.` });
 * output.write("Started.");
 */
export const createLineOutput = (
    stream: Pick<Writable, "write" | "writableLength">,
    options: { describeLoss: (count: number) => string; maxBufferedBytes?: number },
): LineOutput => {
    const { describeLoss, maxBufferedBytes = DEFAULT_MAX_BUFFERED_BYTES } = options;
    let lost = 0;
    return {
        write: line => {
            if (stream.writableLength > maxBufferedBytes) {
                lost++;
                return;
            }
            if (lost > 0) {
                stream.write(`${describeLoss(lost)}\n`);
                lost = 0;
            }
            stream.write(`${line}\n`);
        },
    };
};
