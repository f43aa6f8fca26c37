import { existsSync } from "node:fs";
import { expect, test } from "@jest/globals";
import { STATE_AND_ROUTING_FILES } from "../lineCounts.js";

test("guards against a line count with files that are listed twice, renamed or removed", () => {
    expect(STATE_AND_ROUTING_FILES.filter(file => !existsSync(file))).toEqual([]);
    expect(new Set(STATE_AND_ROUTING_FILES).size).toBe(STATE_AND_ROUTING_FILES.length);
});
