import { expect, test } from "@jest/globals";
import { createLineOutput } from "../lineOutput.js";

/** A stream whose reader takes nothing until `read` is called. */
const stalledStream = () => {
    let waiting: string[] = [];
    const taken: string[] = [];
    return {
        taken,
        read: () => {
            taken.push(...waiting);
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

test("a reader that stalls costs lines but no memory, and learns how many it missed", () => {
    const stream = stalledStream();
    const output = createLineOutput(stream, { describeLoss: count => `${count} lost`, waitingBytes: 100 });
    for (let index = 0; index < 1_000; index++) {
        output.write(`line ${index}`);
    }
    expect(stream.writableLength).toBeLessThan(120);
    stream.read();
    const kept = stream.taken.length;
    output.write("after");
    stream.read();
    expect(stream.taken.slice(kept)).toEqual([`${1_000 - kept} lost\n`, "after\n"]);
});
