import type { RouterInstance } from "../../test/support/routerCluster.js";
import { scrapeMetric } from "./scrapeMetric.js";
import { pause } from "../../test/support/waitFor.js";

/** Interval between polls of an instance, in milliseconds. */
const POLL_INTERVAL_MS = 40;

/**
 * Tracks the current bundle version of each instance of a cluster by polling its metrics, including instances that start
 * later. A version is recorded at the first poll after it came into force.
 *
 * @example
 * const watch = new BundleWatch(() => router.instances);
 * await watch.waitForVersion(2, 10_000);
 */
export class BundleWatch {
    /** Messages about instances whose version decreased. */
    readonly reversals: string[] = [];
    private readonly versions = new Map<RouterInstance, number>();
    private readonly watched = new Set<RouterInstance>();
    private stopped = false;

    constructor(private readonly instances: () => readonly RouterInstance[]) {
        void this.watchNewInstances();
    }

    /**
     * Waits until each current instance has this version or a later one.
     *
     * @returns the time at which the last instance had it, as a value of `performance.now()`; `Infinity` on a timeout.
     */
    async waitForVersion(version: number, limitMs: number): Promise<number> {
        const deadline = performance.now() + limitMs;
        while (performance.now() < deadline) {
            if (this.instances().every(instance => (this.versions.get(instance) ?? 0) >= version)) {
                return performance.now();
            }
            await pause(10);
        }
        return Infinity;
    }

    /** Lists the instances that have an older version, with that version. */
    behind(version: number): string[] {
        return this.instances()
            .filter(instance => (this.versions.get(instance) ?? 0) < version)
            .map(instance => `${instance.name} has ${this.versions.get(instance) ?? 0}`);
    }

    dispose(): void {
        this.stopped = true;
    }

    private async watchNewInstances(): Promise<void> {
        while (!this.stopped) {
            for (const instance of this.instances().filter(candidate => !this.watched.has(candidate))) {
                this.watched.add(instance);
                void this.pollVersion(instance);
            }
            await pause(POLL_INTERVAL_MS);
        }
    }

    private async pollVersion(instance: RouterInstance): Promise<void> {
        while (!this.stopped && instance.daemon.program.running) {
            const seen = await scrapeMetric(instance.daemon.program.listening.metrics, "sassafrasloom_bundle_version");
            const before = this.versions.get(instance) ?? 0;
            if (seen !== undefined && seen < before) {
                this.reversals.push(`${instance.name} went from version ${before} to ${seen}`);
            }
            if (seen !== undefined) {
                this.versions.set(instance, seen);
            }
            await pause(POLL_INTERVAL_MS);
        }
    }
}
