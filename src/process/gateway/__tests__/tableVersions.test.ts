import type { StoredRow } from "../rowStore.js";
import { newestRows, TableVersions } from "../tableVersions.js";

const row = (key: string, version: number): StoredRow => ({ key, value: Buffer.from(key), version });
const deleted = (key: string, version: number): StoredRow => ({ key, value: undefined, version });

describe("TableVersions", () => {
    it("returns the changes that lead to a reading of the whole table, each once", () => {
        const versions = new TableVersions();
        versions.reset([row("a", 1), row("b", 2), row("c", 3)], 4);
        const all = [row("a", 1), row("b", 7), row("d", 8)];
        const changes = versions.changesTo(all, 9);
        expect(changes).toEqual([row("b", 7), row("d", 8), deleted("c", 9)]);
        changes.forEach(each => versions.add(each, each.value !== undefined));
        expect(versions.changesTo(all, 12)).toEqual([]);
    });

    // A delayed message would bring back a row whose deletion is known only from the whole table.
    it("takes a row for old that the whole table lacked at a later version", () => {
        const versions = new TableVersions();
        versions.reset([row("a", 1)], 9);
        expect([row("b", 8), row("b", 10)].map(each => versions.isNew(each))).toEqual([false, true]);
    });

    it("keeps a row that is newer than the one in a reading of the whole table", () => {
        const versions = new TableVersions();
        versions.add(row("a", 9), true);
        expect(versions.reset([row("a", 5), row("b", 6)], 7)).toEqual([row("b", 6)]);
    });
});

describe("newestRows", () => {
    it("leaves out all but the newest version of each row", () => {
        const rows = [row("a", 1), row("b", 2), row("a", 3), deleted("b", 4), row("c", 5)];
        expect(newestRows(rows)).toEqual([row("a", 3), deleted("b", 4), row("c", 5)]);
    });
});
