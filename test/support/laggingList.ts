import { z } from "zod";

export const listedInstanceSchema = z.strictObject({
    name: z.string(),
    role: z.enum(["entry", "target"]),
    service: z.string().optional(),
    domain: z.string(),
    address: z.string(),
    state: z.enum(["live", "leaving"]),
});
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** Registers an instance, changes fields of a listed one, or removes it. */
export const instanceChangeSchema = z.union([
    z.strictObject({ name: z.string(), remove: z.literal(true) }),
    listedInstanceSchema.partial().required({ name: true }),
]);
export type InstanceChange = z.infer<typeof instanceChangeSchema>;

/** Maximum lag of the list; older states are discarded. */
export const MAX_LAG_MS = 600_000;

/** The platform's instance list, in its state of `lagMs` milliseconds ago. */
export class LaggingList {
    private states: { at: number; instances: Map<string, ListedInstance> }[] = [
        { at: -Infinity, instances: new Map() },
    ];
    lagMs = 0;

    constructor(private readonly now: () => number) {}

    /** Applies a change. Returns false if a new instance lacks fields or an instance to remove isn't listed. */
    change(change: InstanceChange): boolean {
        const instances = new Map(this.states[this.states.length - 1].instances);
        if ("remove" in change) {
            if (!instances.delete(change.name)) {
                return false;
            }
        } else {
            const merged = listedInstanceSchema.safeParse({ ...instances.get(change.name), ...change });
            if (!merged.success) {
                return false;
            }
            instances.set(change.name, merged.data);
        }
        this.states.push({ at: this.now(), instances });
        const firstNeeded = this.states.findLastIndex(state => state.at <= this.now() - MAX_LAG_MS);
        this.states = this.states.slice(Math.max(0, firstNeeded));
        return true;
    }

    /** The instances that the list currently shows. */
    shown(): ListedInstance[] {
        const shownAt = this.now() - this.lagMs;
        const state = this.states.findLast(candidate => candidate.at <= shownAt) ?? this.states[0];
        return [...state.instances.values()];
    }
}
