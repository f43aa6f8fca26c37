import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { rendezvousFirst, rendezvousOrder } from "../rendezvous.js";

test("guards against different preferred dispatchers depending on whether all candidates are ordered or only the first is taken", () => {
    const names = fc.array(fc.string({ maxLength: 4 }), { maxLength: 20, size: "max" });
    fc.assert(
        fc.property(fc.string(), names, (subject, candidates) => {
            expect(rendezvousFirst(subject, candidates)).toBe(rendezvousOrder(subject, candidates)[0]);
        }),
        { seed: 5 },
    );
});
