import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { FairShare, type FlowItem } from "../fairShare.js";

interface Item extends FlowItem<Item> {
    caller: string;
}

test("guards against wrong wait estimates and evictions: countAhead and longestFlow must match a direct count", () => {
    const step = fc.record({ caller: fc.constantFrom("a", "b", "c", "d"), act: fc.integer({ min: 0, max: 3 }) });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 100, size: "max" }), steps => {
            const share = new FairShare<Item>({ maxCallers: 8, maxLength: 100 });
            const waiting: Item[] = [];
            for (const { caller, act } of steps) {
                const next = share.nextFlow()?.first;
                if (act <= 1) {
                    const item: Item = { caller, flow: undefined, previous: undefined, next: undefined };
                    share.append(caller, item, 1);
                    waiting.push(item);
                } else if (next !== undefined) {
                    const item = act === 2 ? next : waiting[waiting.length >> 1];
                    waiting.splice(waiting.indexOf(item), 1);
                    if (act === 2) {
                        share.start(item, 1);
                    } else {
                        share.remove(item);
                    }
                }
                const lengths = ["a", "b", "c", "d"].map(name => waiting.filter(item => item.caller === name).length);
                expect(share.size).toBe(waiting.length);
                expect(share.longestFlow()?.length ?? 0).toBe(Math.max(...lengths));
                for (const place of [1, 2, 5, 100]) {
                    const plain = lengths.reduce((sum, length) => sum + Math.min(length, place), 0);
                    expect(share.countAhead(place)).toBe(plain);
                }
            }
        }),
        { seed: 12 },
    );
});
