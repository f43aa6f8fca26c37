import { targetRowSchema, type Slice } from "../store/rows.js";
import { subtractSlices } from "./sliceMap.js";
import type { TableReplica } from "../store/tableReplica.js";

/**
 * Content of the grants to a target: the slices of its row except those that are being released.
 *
 * @example
 * content.release(moving);
 * content.current(); // { term: 7, slices: [[0, 4096]], dispatcher: "a1.9c" }
 */
export class GrantContent {
    private released: readonly Slice[] = [];

    constructor(private readonly options: { targetKey: string; replica: TableReplica; incarnation: () => string }) {}

    current(): { term: number; slices: readonly Slice[]; dispatcher: string } {
        const { targetKey, replica, incarnation } = this.options;
        const row = replica.get(targetKey, targetRowSchema)?.value;
        const own = row?.dispatcher === incarnation() ? row : undefined;
        return {
            // Without the row nothing is granted: a target that has any grant refuses term 0.
            term: own?.term ?? 0,
            slices: subtractSlices(own?.slices ?? [], this.released),
            dispatcher: incarnation(),
        };
    }

    /** Excludes slices from all following grants until `undoRelease` is called. */
    release(slices: readonly Slice[]): void {
        this.released = slices;
    }

    undoRelease(): void {
        this.released = [];
    }
}
