import type { EndedIdle } from "../../connection/targetConnections.js";
import type { Logger } from "../observability/logger.js";
import type { Clock } from "../runtime/clock.js";
import { GatewayTarget } from "./gatewayTarget.js";
import type { StoredRow } from "./rowStore.js";
import { ServiceProfile } from "./serviceProfile.js";
import { TargetDirectory, type DirectoryTarget } from "./targetDirectory.js";
import type { TargetEntry } from "./targetEntry.js";
import type { ColdLimit } from "./warmupLimit.js";

/**
 * Share of a target's connections that all instances together may use, and the minimum number of instances assumed to share
 * them.
 */
const CONNECTION_SHARE = 0.8;
const ASSUMED_INSTANCES = 12;
/** Minimum number of connections from an instance to a target. */
const MIN_CONNECTIONS = 4;
/** Connections that a target accepts if the config doesn't specify a limit. */
const DEFAULT_TARGET_CONNECTIONS = 100;

/**
 * The targets that are registered in the store, each with this instance's view of it.
 *
 * @example
 * targets.listed(rows);
 * targets.accepting("stock").map(target => target.candidate());
 */
export class GatewayTargets {
    readonly directory: TargetDirectory;
    private readonly views = new Map<DirectoryTarget, GatewayTarget>();
    private readonly profiles = new Map<string, ServiceProfile>();

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Failure domain of this instance. */
            domain: string;
            decode: (id: string, value: Buffer) => TargetEntry | undefined;
            /** Connections that a target of the service accepts; `undefined` if the config doesn't specify it. */
            connectionLimit: (service: string) => number | undefined;
            /** Interval at which targets check in at the store, in milliseconds. */
            checkInMs: number;
            /** Called when a target's entry was removed. */
            gone: (id: string) => void;
            /** Time allowed for running requests to a target whose entry was removed, in milliseconds. */
            graceMs: number;
            /** The limit of a target that follows from its warm-up. */
            coldLimit?: (entry: TargetEntry) => ColdLimit | undefined;
            /** Called when a target has ended an idle connection. */
            idleEnded?: (listed: DirectoryTarget, ended: EndedIdle) => void;
        },
    ) {
        const { clock, logger, checkInMs } = options;
        this.directory = new TargetDirectory({ clock, logger, checkInMs, onChange: target => this.changed(target) });
    }

    all(): Iterable<GatewayTarget> {
        return this.views.values();
    }

    /** Targets of a service whose entries don't say that they leave. */
    accepting(service: string): GatewayTarget[] {
        return this.directory.accepting(service).map(listed => this.view(listed));
    }

    /** The target with this identifier and start time, if it is registered. */
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
        const connections = Math.max(MIN_CONNECTIONS, Math.floor((limit * CONNECTION_SHARE) / ASSUMED_INSTANCES));
        const profile = this.profileOf(listed.entry.service);
        const coldLimit = () => this.options.coldLimit?.(listed.entry);
        const isSameDomain = listed.entry.domain === domain;
        const { random } = Math;
        const idleEnded = (ended: EndedIdle) => this.options.idleEnded?.(listed, ended);
        const target = new GatewayTarget(
            listed,
            clock,
            isSameDomain,
            connections,
            profile,
            coldLimit,
            random,
            idleEnded,
        );
        this.views.set(listed, target);
        return target;
    }

    /** What the targets of each service have shown. */
    serviceProfiles(): Iterable<[service: string, profile: ServiceProfile]> {
        return this.profiles;
    }

    private profileOf(service: string): ServiceProfile {
        const lossesFound = () =>
            this.options.logger.warn("Targets lose requests when they are full; part of their queues is left free.", {
                service,
            });
        const profile = this.profiles.get(service) ?? new ServiceProfile(lossesFound);
        this.profiles.set(service, profile);
        return profile;
    }

    /** Applies a snapshot of all entries; entries that aren't among the rows are removed. */
    listed(rows: readonly StoredRow[]): void {
        const keys = new Set(rows.map(({ key }) => key));
        for (const { entry } of [...this.directory.all()]) {
            if (!keys.has(entry.id)) {
                this.directory.entryGone(entry.id);
            }
        }
        for (const row of rows) {
            const entry = this.decode(row);
            if (entry === undefined || !this.directory.isDoubted(entry)) {
                this.apply(row.key, entry);
            }
        }
    }

    /** Applies a snapshot of all entries of a store that was restored from a copy. */
    restored(rows: readonly StoredRow[]): void {
        this.directory.restored(rows.map(row => this.decode(row)).filter(entry => entry !== undefined));
    }

    /** Applies a changed entry. */
    rowChanged(row: StoredRow): void {
        this.apply(row.key, this.decode(row));
    }

    private apply(id: string, entry: TargetEntry | undefined): void {
        if (entry === undefined) {
            this.directory.entryGone(id);
        } else {
            this.directory.put(entry);
        }
    }

    /** Decodes an entry; `undefined` if it was removed or is none. */
    private decode(row: StoredRow): TargetEntry | undefined {
        const entry = row.value === undefined ? undefined : this.options.decode(row.key, row.value);
        if (entry === undefined && row.value !== undefined) {
            this.options.logger.warn("A target entry can't be decoded; it counts as removed.", { entry: row.key });
        }
        return entry;
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
        // Connections are closed later, so that requests still running at the target can be answered.
        this.options.clock.setTimer(this.options.graceMs, () => target?.dispose());
    }
}
