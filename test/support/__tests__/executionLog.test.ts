import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { DEFAULT_LOG_READS, ExecutionLog, readExecutionLog, type ExecutionEvent } from "../executionLog.js";
import { createTempFolder } from "../programs.js";

const FIRST: ExecutionEvent = { type: "boot", service: "stock", target: "s1", boot: "b1", at: 1 };
const SECOND: ExecutionEvent = { ...FIRST, type: "commit", execution: 7, at: 2 };
const FIRST_LINE = `${JSON.stringify(FIRST)}\n`;
const SECOND_LINE = `${JSON.stringify(SECOND)}\n`;

let folder: Awaited<ReturnType<typeof createTempFolder>>;
let file: string;
let pauses: number;

beforeEach(async () => {
    folder = await createTempFolder();
    file = join(folder.path, "target.log");
    pauses = 0;
});

afterEach(() => folder.dispose());

const countPauses = () => {
    pauses++;
};

/** Appends the parts in turn, one in each pause. */
const appendInPauses = (parts: string[]) => () => {
    appendFileSync(file, parts[pauses] ?? "");
    pauses++;
};

test("guards against logged events that are read differently", () => {
    const log = new ExecutionLog({ file, keep: false });
    expect(readExecutionLog(file, countPauses)).toEqual([]);
    log.append(FIRST);
    log.append(SECOND);
    expect(readExecutionLog(file, countPauses)).toEqual([FIRST, SECOND]);
    expect(pauses).toBe(0);
    log.dispose();
});

test("guards against taking a line that its target is still writing for a broken one", () => {
    writeFileSync(file, FIRST_LINE + SECOND_LINE.slice(0, 20));
    const rest = ["", SECOND_LINE.slice(20, -1), SECOND_LINE.slice(-1)];
    expect(readExecutionLog(file, appendInPauses(rest))).toEqual([FIRST, SECOND]);
    expect(pauses).toBe(3);
});

test("guards against accepting an event whose line isn't terminated", () => {
    writeFileSync(file, FIRST_LINE + SECOND_LINE.slice(0, -1));
    expect(() => readExecutionLog(file, countPauses)).toThrow("stays unterminated");
    expect(pauses).toBe(DEFAULT_LOG_READS - 1);
});

test("guards against leaving out a last line that stays incomplete", () => {
    writeFileSync(file, FIRST_LINE + SECOND_LINE.slice(0, 20));
    expect(() => readExecutionLog(file, countPauses)).toThrow("stays unterminated");
    expect(pauses).toBe(DEFAULT_LOG_READS - 1);
});

test.each([
    ["incomplete", FIRST_LINE.slice(0, 20) + "\n"],
    ["empty", "\n"],
    ["not an event", '{"type":"other"}\n'],
    ["joined with the next one", FIRST_LINE.slice(0, 20) + SECOND_LINE],
])("guards against reading on after a terminated line that is %s", (_, line) => {
    writeFileSync(file, FIRST_LINE + line + SECOND_LINE);
    expect(() => readExecutionLog(file, countPauses)).toThrow("isn't an event");
    writeFileSync(file, FIRST_LINE + line);
    expect(() => readExecutionLog(file, countPauses)).toThrow("isn't an event");
    writeFileSync(file, FIRST_LINE + line + SECOND_LINE.slice(0, -1));
    expect(() => readExecutionLog(file, countPauses)).toThrow("isn't an event");
    expect(pauses).toBe(0);
});
