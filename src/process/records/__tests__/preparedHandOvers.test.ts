import { describe, expect, test } from "@jest/globals";
import { MAX_PREPARED_PER_TARGET, PreparedHandOvers } from "../preparedHandOvers.js";

const KEY = "target/orders/t1";

const setUp = () => {
    const dropped: string[] = [];
    const prepared = new PreparedHandOvers<string>(content => dropped.push(content));
    const add = (term: number, attempt: string | undefined) =>
        prepared.add({ targetKey: KEY, term, attempt }, `${term}${attempt ?? ""}`);
    const take = (term: number, attempt: string | undefined) => prepared.take({ targetKey: KEY, term, attempt });
    return { prepared, dropped, add, take };
};

describe("prepared handovers", () => {
    test("guards against applying a handover that the row doesn't state", () => {
        const { add, take } = setUp();
        add(5, "a");
        add(6, "b");
        expect([take(5, ""), take(6, undefined)]).toEqual([undefined, undefined]);
    });

    test("guards against keeping handovers whose terms have passed, or dropping those that may still be carried out", () => {
        const { add, take, dropped } = setUp();
        add(5, "a");
        add(5, "b");
        add(9, "c");
        expect(take(5, "b")).toBe("5b");
        expect(dropped).toEqual(["5a"]);
        expect(take(9, "c")).toBe("9c");
        expect(dropped).toEqual(["5a"]);
    });

    test("guards against unbounded memory while handovers are repeated", () => {
        const { add, take, dropped } = setUp();
        for (let index = 0; index <= MAX_PREPARED_PER_TARGET; index++) {
            add(5, String(index));
        }
        expect(dropped).toEqual(["50"]);
        expect(take(5, String(MAX_PREPARED_PER_TARGET))).toBe(`5${MAX_PREPARED_PER_TARGET}`);
    });
});
