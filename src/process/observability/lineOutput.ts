import type { Writable } from "node:stream";

/** Most bytes of lines that wait for a slow reader; a few thousand lines. */
export const DEFAULT_WAITING_BYTES = 524_288;

/** Writes lines to a stream without waiting for its reader. */
export interface LineOutput {
    /** Writes a line, or drops it when too much waits already. */
    write(line: string): void;
}

/**
 * Creates an output whose waiting lines are bounded: a reader that stalls costs lines, not memory or time. Once it reads
 * again, `describeLoss` makes the line that tells how many were dropped.
 *
 * @example
 * const output = createLineOutput(process.stdout, { describeLoss: count => `${count} lines were dropped.` });
 * output.write("Started.");
 */
export const createLineOutput = (
    stream: Pick<Writable, "write" | "writableLength">,
    options: { describeLoss: (count: number) => string; waitingBytes?: number },
): LineOutput => {
    const { describeLoss, waitingBytes = DEFAULT_WAITING_BYTES } = options;
    let lost = 0;
    return {
        write: line => {
            if (stream.writableLength > waitingBytes) {
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
