import type { z } from "zod";
import {
    memberRowPrefix,
    memberRowSchema,
    targetRowSchema,
    type MemberRow,
    type TargetRow,
    type VersionedRow,
} from "./rows.js";
import { SliceMap } from "../ownership/sliceMap.js";

/** Prefixes of the rows that every instance replicates. */
export const REPLICATED_PREFIXES = ["member/", "target/", "service/", "bundle/", "drain/", "evacuated/"] as const;

/** A parsed row with its version. */
export interface Versioned<Value> {
    version: number;
    value: Value;
}

/**
 * This instance's copy of the platform's table. A row replaces an existing one only if its version is higher, so rows
 * may arrive from the table and from peers in any order.
 *
 * @example
 * replica.apply(rows).forEach(row => log(row.key));
 * const owner = replica.sliceMap("stock").ownerOf(position);
 */
export class TableReplica {
    private readonly rows = new Map<string, VersionedRow>();
    private readonly listeners = new Set<(changed: VersionedRow[]) => void>();
    private readonly sliceMaps = new Map<string, SliceMap>();
    private readonly parsed = new Map<string, Versioned<unknown>>();
    /** Cached results of `list` by prefix, until a row under the prefix changes. */
    private readonly lists = new Map<string, readonly Versioned<unknown>[]>();
    private incarnations: Set<string> | undefined;

    /** Applies the rows that are newer than the existing ones and returns them. Listeners run before it returns. */
    apply(rows: readonly VersionedRow[]): VersionedRow[] {
        const changed = rows.filter(row => {
            if (!REPLICATED_PREFIXES.some(prefix => row.key.startsWith(prefix))) {
                return false;
            }
            const held = this.rows.get(row.key);
            if (held !== undefined && held.version >= row.version) {
                return false;
            }
            this.rows.set(row.key, row);
            this.parsed.delete(row.key);
            return true;
        });
        for (const { key } of changed) {
            for (const prefix of this.lists.keys()) {
                if (key.startsWith(prefix)) {
                    this.lists.delete(prefix);
                }
            }
            if (key.startsWith("member/")) {
                this.incarnations = undefined;
            }
            if (key.startsWith("target/")) {
                this.sliceMaps.delete(key.split("/")[1]);
            }
        }
        if (changed.length > 0) {
            this.listeners.forEach(listener => listener(changed));
        }
        return changed;
    }

    /** Calls `listener` after each change with the changed rows. Returns a function that removes the listener. */
    onChange(listener: (changed: VersionedRow[]) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** The row of a key, also if it was deleted. */
    row(key: string): VersionedRow | undefined {
        return this.rows.get(key);
    }

    /** Version to use as a condition on a key: 0 while the row is absent or deleted. */
    conditionVersion(key: string): number {
        const row = this.rows.get(key);
        return row?.value === undefined ? 0 : row.version;
    }

    /** Value and version of a live row that fits the schema, or `undefined`. */
    get<Schema extends z.ZodType>(key: string, schema: Schema): Versioned<z.infer<Schema>> | undefined {
        const cached = this.parsed.get(key);
        if (cached !== undefined) {
            return cached as Versioned<z.infer<Schema>>;
        }
        const row = this.rows.get(key);
        const value = schema.safeParse(row?.value);
        if (row === undefined || !value.success) {
            return undefined;
        }
        const versioned = { version: row.version, value: value.data };
        this.parsed.set(key, versioned);
        return versioned;
    }

    /** Live rows under a prefix that fit the schema. Each prefix must always be used with the same schema. */
    list<Schema extends z.ZodType>(prefix: string, schema: Schema): readonly Versioned<z.infer<Schema>>[] {
        const held = this.lists.get(prefix);
        if (held !== undefined) {
            return held as readonly Versioned<z.infer<Schema>>[];
        }
        const listed = [...this.rows.keys()]
            .filter(key => key.startsWith(prefix))
            .map(key => this.get(key, schema))
            .filter(versioned => versioned !== undefined);
        this.lists.set(prefix, listed);
        return listed;
    }

    /** All rows, deleted ones included, for the full exchange with a peer. */
    all(): VersionedRow[] {
        return [...this.rows.values()];
    }

    /** Registered members of a domain. */
    members(domain: string): readonly Versioned<MemberRow>[] {
        return this.list(memberRowPrefix(domain), memberRowSchema);
    }

    /** Registered members of all domains. */
    allMembers(): readonly Versioned<MemberRow>[] {
        return this.list("member/", memberRowSchema);
    }

    /** Whether a member with this incarnation is registered in any domain. */
    hasMember(incarnation: string): boolean {
        this.incarnations ??= new Set(this.allMembers().map(({ value }) => value.incarnation));
        return this.incarnations.has(incarnation);
    }

    /** Rows of the targets of a service. */
    targets(service: string): readonly Versioned<TargetRow>[] {
        return this.list(`target/${service}/`, targetRowSchema);
    }

    /** Rows of the targets of all services. */
    allTargets(): readonly Versioned<TargetRow>[] {
        return this.list("target/", targetRowSchema);
    }

    /** Map from positions to targets of a service, rebuilt after a change of any of its target rows. */
    sliceMap(service: string): SliceMap {
        const held = this.sliceMaps.get(service);
        if (held !== undefined) {
            return held;
        }
        const map = new SliceMap(this.targets(service).map(({ value }) => value));
        this.sliceMaps.set(service, map);
        return map;
    }
}
