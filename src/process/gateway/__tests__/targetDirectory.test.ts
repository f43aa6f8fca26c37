import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { TargetDirectory } from "../targetDirectory.js";
import type { TargetEntry } from "../targetEntry.js";

const entry = (id: string, change: Partial<TargetEntry> = {}): TargetEntry => ({
    id,
    service: "stock",
    address: `${id}:80`,
    domain: "linz",
    slots: 6,
    draining: false,
    warmupLeftMs: 0,
    startedAtMs: 1,
    ...change,
});

const createDirectory = () => {
    const clock = new ManualClock();
    const directory = new TargetDirectory({ clock, logger: SILENT_LOGGER, onChange: () => undefined });
    const usable = (service = "stock") => directory.usable(service).map(target => target.entry.id);
    return { clock, directory, usable };
};

describe("TargetDirectory", () => {
    it("makes draining and removed targets unusable at once", () => {
        const { directory, usable } = createDirectory();
        directory.put(entry("t1"));
        directory.put(entry("t2"));
        directory.put(entry("t1", { draining: true }));
        expect(usable()).toEqual(["t2"]);
        directory.entryGone("t2");
        expect(usable()).toEqual([]);
    });

    it("ends a target whose address now belongs to another one, also of another service", () => {
        const { directory, usable } = createDirectory();
        directory.put(entry("t1"));
        directory.put(entry("t2", { address: "t1:80", service: "orders", startedAtMs: 2 }));
        expect([usable("stock"), usable("orders")]).toEqual([[], ["t2"]]);
        // The old entry may be written once more before it expires.
        directory.put(entry("t1"));
        expect([usable("stock"), usable("orders")]).toEqual([[], ["t2"]]);
    });

    it("treats a target that has restarted under the same identifier as a new one", () => {
        const { directory, usable } = createDirectory();
        directory.put(entry("t1"));
        const before = directory.get("t1");
        directory.put(entry("t1", { startedAtMs: 2 }));
        expect(before?.gone).toBe(true);
        expect(directory.get("t1")).not.toBe(before);
        expect(usable()).toEqual(["t1"]);
    });

    it("keeps targets usable for a while whose entries expired during an outage, unless these don't return", () => {
        const { clock, directory, usable } = createDirectory();
        directory.put(entry("t1"));
        directory.put(entry("t2"));
        directory.setOutage(true);
        clock.advance(3_000);
        directory.setOutage(false);
        directory.entryGone("t1");
        directory.entryGone("t2");
        expect(usable()).toEqual(["t1", "t2"]);
        directory.put(entry("t1"));
        clock.advance(3_000);
        expect(usable()).toEqual(["t1"]);
    });
});
