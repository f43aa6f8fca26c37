import { startWithMovedKeys } from "../../../../test/support/assigningInstances.js";

/** Guards against two holders of the lease: the setting says nothing of the eras before an instance's first answer. */
describe("An instance of the first start whose first answer of the store comes after a restore", () => {
    it.each([
        ["goes on", false],
        ["is cut off from the store", true],
    ])("waits for the lease and the grants of a holder that %s", async (_, isCut) => {
        const { system, copy } = await startWithMovedKeys("a1");
        const [holder] = system.holders();
        holder.isCut = isCut;
        system.store.restore(copy);
        system.start("a2", true);
        for (let elapsed = 0; elapsed < 25_000; elapsed += 50) {
            await system.advance(50);
            expect(system.holders().length).toBeLessThanOrEqual(1);
            expect(system.calls.violations).toEqual([]);
        }
        system.dispose();
    });
});
