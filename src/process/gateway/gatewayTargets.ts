import type { Logger } from "../observability/logger.js";
import type { Clock } from "../runtime/clock.js";
import { GatewayTarget } from "./gatewayTarget.js";
import type { StoredRow } from "./rowStore.js";
import { TargetDirectory, type DirectoryTarget } from "./targetDirectory.js";
import type { TargetEntry } from "./targetEntry.js";

/** Share of a target's connections that all instances may use together, and the instances that share them at least. */
const CONNECTION_SHARE = 0.8;
const ASSUMED_INSTANCES = 12;
/** Least connections of an instance to a target. */
const MINIMUM_CONNECTIONS = 4;
/** Connections that a target accepts where the config doesn't tell. */
const DEFAULT_TARGET_CONNECTIONS = 100;

/**
 * The targets of the store's entries, each with this instance's view of it.
 *
 * @example
 * targets.listed(rows);
 * targets.usable("stock").map(target => target.candidate());
 */
export class GatewayTargets {
    readonly directory: TargetDirectory;
    private readonly views = new Map<DirectoryTarget, GatewayTarget>();

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Failure domain of this instance. */
            domain: string;
            decode: (id: string, value: Buffer) => TargetEntry | undefined;
            /** Connections that a target of the service accepts, where the config tells. */
            connectionLimit: (service: string) => number | undefined;
            /** Called when a target's entry has gone. */
            gone: (id: string) => void;
            /** Time for which requests to a target whose entry has gone may go on, in milliseconds. */
            graceMs: number;
        },
    ) {
        const { clock, logger } = options;
        this.directory = new TargetDirectory({ clock, logger, onChange: target => this.changed(target) });
    }

    all(): Iterable<GatewayTarget> {
        return this.views.values();
    }

    /** Usable targets of a service. */
    usable(service: string): GatewayTarget[] {
        return this.directory.usable(service).map(listed => this.view(listed));
    }

    /** The target with this identifier and start, if its entry is there. */
    get(id: string, startedAtMs: number): GatewayTarget | undefined {
        const listed = this.directory.get(id);
        return listed?.entry.startedAtMs === startedAtMs ? this.view(listed) : undefined;
    }

    /** This instance's view of a target. */
    view(listed: DirectoryTarget): GatewayTarget {
        const known = this.views.get(listed);
        if (known !== undefined) {
            return known;
        }
        const { clock, domain, connectionLimit } = this.options;
        const limit = connectionLimit(listed.entry.service) ?? DEFAULT_TARGET_CONNECTIONS;
        const connections = Math.max(MINIMUM_CONNECTIONS, Math.floor((limit * CONNECTION_SHARE) / ASSUMED_INSTANCES));
        const target = new GatewayTarget(listed, clock, listed.entry.domain === domain, connections);
        this.views.set(listed, target);
        return target;
    }

    /** Takes over all entries; those that aren't among the rows have gone. */
    listed(rows: readonly StoredRow[]): void {
        const keys = new Set(rows.map(({ key }) => key));
        for (const { entry } of [...this.directory.all()]) {
            if (!keys.has(entry.id)) {
                this.directory.entryGone(entry.id);
            }
        }
        rows.forEach(row => this.rowChanged(row));
    }

    /** Takes over a changed entry. */
    rowChanged(row: StoredRow): void {
        const entry = row.value === undefined ? undefined : this.options.decode(row.key, row.value);
        if (entry !== undefined) {
            this.directory.put(entry);
            return;
        }
        if (row.value !== undefined) {
            this.options.logger.warn("An entry names no usable target.", { entry: row.key });
        }
        this.directory.entryGone(row.key);
    }

    dispose(): void {
        this.views.forEach(target => target.dispose());
    }

    private changed(listed: DirectoryTarget): void {
        if (!listed.gone) {
            return;
        }
        const target = this.views.get(listed);
        this.views.delete(listed);
        this.options.gone(listed.entry.id);
        // Requests that it still runs are answered before its connections are closed.
        this.options.clock.setTimer(this.options.graceMs, () => target?.dispose());
    }
}
