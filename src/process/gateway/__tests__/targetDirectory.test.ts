import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { TargetDirectory, type DirectoryTarget } from "../targetDirectory.js";
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
    const directory = new TargetDirectory({
        clock,
        logger: SILENT_LOGGER,
        checkInMs: 1_000,
        onChange: () => undefined,
    });
    const usable = (service = "stock") =>
        [...directory.all()]
            .filter(({ entry, usable }) => entry.service === service && usable)
            .map(({ entry }) => entry.id);
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

    it("ends a target at whose address another one has answered, also of another service", () => {
        const { directory, usable } = createDirectory();
        directory.put(entry("t1"));
        const first = directory.get("t1") as DirectoryTarget;
        directory.put(entry("t2", { address: "t1:80", service: "orders", startedAtMs: 2 }));
        directory.addressLost(first);
        expect(first.gone).toBe(true);
        expect([usable("stock"), usable("orders")]).toEqual([[], ["t2"]]);
        // The old entry may be written once more before it expires.
        directory.put(entry("t1"));
        expect([usable("stock"), usable("orders")]).toEqual([[], ["t2"]]);
        directory.put(entry("t1", { startedAtMs: 3 }));
        expect([usable("stock"), usable("orders")]).toEqual([["t1"], ["t2"]]);
    });

    it.each([
        ["of a service that no config names", { service: "unnamed" }],
        ["of the same service", {}],
        ["with an earlier start", { startedAtMs: 1 }],
    ])("guards against an entry that ends the target whose address it names, %s", (_, change) => {
        const { directory, usable } = createDirectory();
        directory.put(entry("t1", { startedAtMs: 2 }));
        directory.put(entry("odd", { address: "t1:80", startedAtMs: 3, ...change }));
        expect(usable()).toContain("t1");
        directory.entryGone("odd");
        expect(usable()).toEqual(["t1"]);
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

    it("doesn't keep a target usable whose statement is read after its entry has gone and returned", () => {
        const { directory, usable } = createDirectory();
        directory.put(entry("t1"));
        const before = directory.get("t1");
        directory.entryGone("t1");
        directory.put(entry("t1"));
        expect(usable()).toEqual(["t1"]);
        // The answer to a request that was sent before its entry had gone.
        expect(before === undefined || directory.stateLeaving(before)).toBe(true);
        expect(usable()).toEqual([]);
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

    it("doesn't keep a target whose entry goes after an outage beyond the time in which targets return", () => {
        const { clock, directory, usable } = createDirectory();
        directory.put(entry("t1"));
        directory.setOutage(true);
        clock.advance(3_000);
        directory.setOutage(false);
        // The change is read late, as changes are read together.
        clock.advance(1_100);
        directory.entryGone("t1");
        expect(usable()).toEqual(["t1"]);
        clock.advance(700);
        expect(usable()).toEqual([]);
    });

    it("guards against an entry that recalls a target which states that it leaves, and against one that bans a later start", () => {
        const { directory, usable } = createDirectory();
        directory.put(entry("t1"));
        const [target] = directory.all();
        expect([directory.stateLeaving(target), directory.stateLeaving(target), usable()]).toEqual([true, false, []]);
        directory.put(entry("t1"));
        expect(usable()).toEqual([]);
        directory.entryGone("t1");
        directory.put(entry("t1"));
        expect([usable(), directory.get("t1")?.intake.leavingAt]).toEqual([[], 0]);
        directory.put(entry("t1", { startedAtMs: 2 }));
        expect([usable(), directory.get("t1")?.intake.leavingAt]).toEqual([["t1"], undefined]);
    });

    it("guards against keys for targets of an evacuated domain, and against ones that stay unusable after it", () => {
        const { clock, directory, usable } = createDirectory();
        ["t1", "t2"].forEach(id => directory.put(entry(id, { domain: "wels" })));
        directory.put(entry("t3"));
        directory.beginEvacuation({ domain: "wels", since: 0, sendsUntil: 3_000 });
        directory.put(entry("t4", { domain: "wels" }));
        directory.put(entry("t1", { domain: "wels", slots: 7 }));
        expect(usable()).toEqual(["t3"]);
        expect(directory.accepting("stock")).toHaveLength(4);
        directory.put(entry("t2", { domain: "wels", draining: true }));
        clock.advance(4_000);
        directory.endEvacuation("wels");
        expect(usable()).toEqual(["t1", "t3", "t4"]);
        expect(directory.get("t1")?.returnedAt).toBe(4_000);
    });

    it("guards against evacuated targets that are dropped at once when their entries expire in an outage", () => {
        const { clock, directory } = createDirectory();
        directory.put(entry("t1"));
        directory.beginEvacuation({ domain: "linz", since: 0, sendsUntil: 3_000 });
        directory.setOutage(true);
        clock.advance(3_000);
        directory.setOutage(false);
        directory.entryGone("t1");
        expect(directory.get("t1")).toBeDefined();
        clock.advance(1_700);
        expect(directory.get("t1")).toBeUndefined();
    });

    it("guards against a rest that is forgotten while the entry of its start is gone", () => {
        const { clock, directory } = createDirectory();
        directory.put(entry("t1"));
        directory.get("t1")?.intake.stateRest(5_000, clock);
        directory.entryGone("t1");
        directory.put(entry("t1"));
        expect(directory.get("t1")?.intake.rest?.until).toBe(5_000);
    });
});

/**
 * A directory that trusts the copy sends requests to targets that are leaving or gone, or forgets those that registered after
 * it was made.
 */
describe("TargetDirectory after the store was restored from a copy", () => {
    const restore = ({ directory }: ReturnType<typeof createDirectory>, ...entries: TargetEntry[]) => {
        directory.storeRestored();
        directory.restored(entries);
    };

    it("keeps a target draining whose entry of the copy is ready, until it starts again", () => {
        const system = createDirectory();
        const { directory, usable } = system;
        directory.put(entry("t1"));
        directory.put(entry("t1", { draining: true }));
        restore(system, entry("t1"));
        expect(usable()).toEqual([]);
        directory.put(entry("t1", { startedAtMs: 2 }));
        expect(usable()).toEqual(["t1"]);
    });

    it("keeps a target out of use that was draining when its entry was removed", () => {
        const system = createDirectory();
        const { clock, directory, usable } = system;
        directory.put(entry("t1", { draining: true }));
        directory.entryGone("t1");
        restore(system, entry("t1"));
        clock.advance(10_000);
        directory.put(entry("t1"));
        expect(usable()).toEqual([]);
    });

    it("doesn't use a target that has left, although its entry is in the copy until it expires there", () => {
        const system = createDirectory();
        const { clock, directory, usable } = system;
        directory.put(entry("t1"));
        directory.entryGone("t1");
        restore(system, entry("t1"));
        clock.advance(4_000);
        expect(usable()).toEqual([]);
        directory.entryGone("t1");
        clock.advance(10_000);
        expect(usable()).toEqual([]);
    });

    it("uses a target again whose entry had only lapsed, once it writes or its entry doesn't expire", () => {
        const system = createDirectory();
        const { clock, directory, usable } = system;
        ["t1", "t2"].forEach(id => directory.put(entry(id)));
        ["t1", "t2"].forEach(id => directory.entryGone(id));
        restore(system, entry("t1"), entry("t2"));
        clock.advance(500);
        directory.put(entry("t1"));
        expect(usable()).toEqual(["t1"]);
        // The entry of a target that lives doesn't change when the target checks in.
        clock.advance(5_000);
        expect(usable()).toEqual(["t1", "t2"]);
    });

    it("keeps using a target that the copy lacks while it may register again, and no longer", () => {
        const system = createDirectory();
        const { clock, directory, usable } = system;
        ["t1", "t2", "t3"].forEach(id => directory.put(entry(id)));
        restore(system, entry("t1"));
        expect(usable()).toEqual(["t1", "t2", "t3"]);
        clock.advance(1_500);
        directory.put(entry("t2"));
        clock.advance(1_000);
        expect(usable()).toEqual(["t1", "t2"]);
    });

    it("doesn't replace a start by an earlier one of the copy, which may have another address", () => {
        const system = createDirectory();
        const { clock, directory, usable } = system;
        directory.put(entry("t1"));
        directory.put(entry("t1", { startedAtMs: 2, address: "later:80" }));
        restore(system, entry("t1"));
        expect(directory.get("t1")?.entry.address).toBe("later:80");
        clock.advance(10_000);
        expect(directory.get("t1")?.entry.address).toBe("later:80");
        expect(usable()).toEqual(["t1"]);
    });

    it("doesn't bring back a start before the one that has left", () => {
        const system = createDirectory();
        const { directory, usable } = system;
        directory.put(entry("t1"));
        directory.put(entry("t1", { startedAtMs: 2 }));
        directory.entryGone("t1");
        restore(system, entry("t1"));
        expect(usable()).toEqual([]);
    });

    it("leaves an address with the target to which it has moved", () => {
        const system = createDirectory();
        const { clock, directory, usable } = system;
        directory.put(entry("t1"));
        directory.put(entry("t2", { address: "t1:80", service: "orders", startedAtMs: 2 }));
        directory.addressLost(directory.get("t1") as DirectoryTarget);
        restore(system, entry("t1"));
        expect([usable("stock"), usable("orders")]).toEqual([[], ["t2"]]);
        clock.advance(1_000);
        directory.put(entry("t2", { address: "t1:80", service: "orders", startedAtMs: 2 }));
        clock.advance(10_000);
        expect([usable("stock"), usable("orders")]).toEqual([[], ["t2"]]);
    });

    it("keeps all this in drills close together", () => {
        const system = createDirectory();
        const { clock, directory, usable } = system;
        ["t1", "t2", "t3"].forEach(id => directory.put(entry(id)));
        directory.entryGone("t1");
        directory.put(entry("t2", { draining: true }));
        for (let drill = 0; drill < 5; drill++) {
            restore(system, entry("t1"), entry("t2"));
            expect(usable()).toEqual(["t3"]);
            clock.advance(1_000);
        }
        // Each drill starts the time anew in which targets register again.
        clock.advance(400);
        directory.put(entry("t3"));
        clock.advance(3_000);
        expect(usable()).toEqual(["t3"]);
    });
});
