import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { nextToken } from "../fencingTokens.js";
import { KEY_COUNT } from "../keyMap.js";
import { KeyOwners } from "../keyOwners.js";

const rowOf = (target: string, fence: number) => ({
    key: "stock",
    version: 1,
    value: Buffer.from(
        JSON.stringify({
            service: "stock",
            fence,
            ranges: [{ from: 0, to: KEY_COUNT - 1, target, startedAtMs: 1, address: `${target}:80`, fence }],
        }),
    ),
});

describe("KeyOwners", () => {
    it("doesn't go back to owners of a restored store's copy, and takes those of the new era", () => {
        const owners = new KeyOwners({ clock: new ManualClock(), logger: SILENT_LOGGER });
        const owner = () => owners.of("stock")?.rangeOf(7)?.target;
        owners.rowChanged(rowOf("t2", nextToken(7, 0)));
        owners.rowChanged(rowOf("t1", 5));
        expect(owner()).toBe("t2");
        owners.rowChanged(rowOf("t3", nextToken(5, 1)));
        expect(owner()).toBe("t3");
    });
});
