import { expect, test } from "@jest/globals";
import { createLineOutput } from "../lineOutput.js";

/** Stream whose reader consumes nothing until `read` is called. */
const stalledStream = () => {
    let waiting: string[] = [];
    const received: string[] = [];
    return {
        received,
        read: () => {
            received.push(...waiting);
            waiting = [];
        },
        get writableLength() {
            return waiting.join("").length;
        },
        write: (text: string) => {
            waiting.push(text);
            return true;
        },
    };
};

test("guards against a buffer that grows while the reader stalls, and against dropped lines that aren't reported", () => {
    const stream = stalledStream();
    const output = createLineOutput(stream, { describeLoss: count => `${count} lost`, maxBufferedBytes: 100 });
    for (let index = 0; index < 1_000; index++) {
        output.write(`line ${index}`);
    }
    expect(stream.writableLength).toBeLessThan(120);
    stream.read();
    const kept = stream.received.length;
    output.write("after");
    stream.read();
    expect(stream.received.slice(kept)).toEqual([`${1_000 - kept} lost\n`, "after\n"]);
});
