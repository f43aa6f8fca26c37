import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { rollBundle } from "../../src/process/bundles/bundleRollout.js";
import { systemClock } from "../../src/process/runtime/clock.js";
import { PlatformObjects } from "../../src/process/store/platformObjects.js";
import { PlatformTable } from "../../src/process/store/platformTable.js";
import { rendezvousFirst } from "../../src/process/membership/rendezvous.js";
import type { TargetRow } from "../../src/process/store/rows.js";
import { DEFAULT_INITIAL_SLICES } from "../../src/process/ownership/serviceLayout.js";
import { initialLayout, RING_SIZE, slicesSize } from "../../src/process/ownership/sliceMap.js";
import { TableReplica } from "../../src/process/store/tableReplica.js";
import { generateSigningKeys, signBundle } from "../../src/version/signature.js";
import type { RunningProgram } from "../../test/support/programs.js";
import { TestCluster, type ClusterOptions } from "../../test/support/testCluster.js";
import type { BaselineSettings, BaselineTarget } from "./baselineOptions.js";
import { waitFor } from "../../test/support/waitFor.js";

/** Name of the signer of benchmark bundles. */
const SIGNER = "bench";

/** An entry instance of a benchmark cluster. */
export interface BenchInstance {
    name: string;
    domain: string;
    /** Address for callers. */
    callers: string;
    program: RunningProgram;
}

export interface BenchClusterOptions extends ClusterOptions {
    bundle: string;
    instancesPerDomain: number;
    /** Overrides of fields of the section `timing`. */
    timing?: Record<string, string>;
    /** Log level of the daemons; defaults to `warn`. */
    logLevel?: "info" | "warn";
    /** Overrides of fields of the section `limits`. */
    limits?: Record<string, string>;
    /** Value of `NODE_OPTIONS` for the daemons, for example to profile them. */
    nodeOptions?: string;
}

const hasPreferredDispatcher = (replica: TableReplica, { service, target, domain, dispatcher }: TargetRow): boolean => {
    const members = replica.members(domain).map(({ value }) => value.incarnation);
    return rendezvousFirst(`${service}/${target}`, members) === dispatcher;
};

const isFullyOwned = (replica: TableReplica, service: string): boolean =>
    slicesSize(replica.targets(service).flatMap(({ value }) => value.slices)) === RING_SIZE;

/**
 * Runs the platform, targets and entry instances as processes that are connected directly, so that no proxy distorts
 * measurements. `RouterCluster` of `test/support` puts fault proxies between them.
 *
 * @example
 * const cluster = await BenchCluster.start({ domains: ["d1"], services, bundle, instancesPerDomain: 2 });
 * await cluster.waitUntilOwned();
 * await cluster.dispose();
 */
export class BenchCluster {
    readonly instances: BenchInstance[] = [];
    private readonly launched: BenchInstance[] = [];
    private readonly keys = generateSigningKeys();
    private readonly table: PlatformTable;
    private readonly objects: PlatformObjects;

    private constructor(
        readonly cluster: TestCluster,
        private readonly options: BenchClusterOptions,
    ) {
        this.table = new PlatformTable({ url: cluster.platform.url, clock: systemClock });
        this.objects = new PlatformObjects({ url: cluster.platform.url });
    }

    /** Starts all processes and rolls out the bundle. */
    static async start(options: BenchClusterOptions): Promise<BenchCluster> {
        const bench = new BenchCluster(await TestCluster.start(options), options);
        try {
            for (const domain of options.domains) {
                const names = Array.from(
                    { length: options.instancesPerDomain },
                    (_, index) => `${domain}-e${index + 1}`,
                );
                await Promise.all(names.map(name => bench.startInstance(domain, name)));
            }
            // The bundle is rolled out only when all instances are active: targets are claimed as soon as their services
            // are known, and an instance that joins later gets its share only through slow handovers.
            await waitFor(async () => (await bench.activeMembers()) >= bench.instances.length, 20_000);
            await bench.roll(options.bundle);
            return bench;
        } catch (error) {
            await bench.dispose();
            throw error;
        }
    }

    /** Starts an entry instance and adds it to the platform's instance list. */
    async startInstance(domain: string, name: string): Promise<BenchInstance> {
        const { platform, folder, programs } = this.cluster;
        const settingsFile = join(folder, `${name}.ini`);
        const lines = [
            "[instance]",
            `name = ${name}`,
            `domain = ${domain}`,
            "[listen]",
            ...["callers", "peers", "operators", "metrics"].map(field => `${field} = 127.0.0.1:0`),
            "[platform]",
            ...["table", "objects", "instances"].map(field => `${field} = ${platform.url}`),
            "[timing]",
            ...Object.entries(this.options.timing ?? {}).map(([field, value]) => `${field} = ${value}`),
            "[limits]",
            ...Object.entries(this.options.limits ?? {}).map(([field, value]) => `${field} = ${value}`),
            "[tls]",
            "mode = plain",
            "[signers]",
            `${SIGNER} = ${this.keys.publicKey}`,
            "[log]",
            `level = ${this.options.logLevel ?? "warn"}`,
        ];
        writeFileSync(settingsFile, `${lines.join("\n")}\n`);
        const { nodeOptions } = this.options;
        const environment: Record<string, string> = nodeOptions === undefined ? {} : { NODE_OPTIONS: nodeOptions };
        const program = await programs.start("src/bin/daemon.js", ["--settings", settingsFile], { environment });
        const callers = program.listening.callers;
        await platform.changeInstance({ name, role: "entry", domain, address: callers, state: "live" });
        const instance = { name, domain, callers, program };
        this.instances.push(instance);
        this.launched.push(instance);
        return instance;
    }

    /** Starts a baseline router that distributes the keys of each service evenly over its targets in this cluster. */
    async startBaseline(settings: Omit<BaselineSettings, "targets">): Promise<RunningProgram> {
        const targets = [...new Set(this.cluster.targets.map(({ service }) => service))].flatMap(service =>
            this.evenMap(service),
        );
        const options: BaselineSettings = { ...settings, targets };
        return this.cluster.programs.start("bench/support/baselineMain.js", [JSON.stringify(options)]);
    }

    /** Signs and rolls out a bundle; throws if it is not accepted. */
    async roll(text: string): Promise<void> {
        const content = Buffer.from(text);
        const version = Number(/^version = (\d+)$/m.exec(text)?.[1]);
        const signature = signBundle(content, version, SIGNER, this.keys.privateKeyPem);
        const result = await rollBundle({
            table: this.table,
            objects: this.objects,
            signers: { [SIGNER]: this.keys.publicKey },
            clock: systemClock,
            content,
            signature: signature.isOk() ? signature.value : undefined,
        });
        if (result.isErr()) {
            throw new Error(`The bundle was not accepted: ${JSON.stringify(result.error)}`);
        }
    }

    /** Reads the current rows of the table. */
    async rows(): Promise<TableReplica> {
        const replica = new TableReplica();
        for (const prefix of ["member/", "target/", "service/", "bundle/"]) {
            const rows = await this.table.scan(prefix);
            if (rows.isOk()) {
                replica.apply(rows.value.rows);
            }
        }
        return replica;
    }

    /** Waits until each target has its preferred dispatcher and each position has an owner. */
    async waitUntilOwned(limitMs = 25_000): Promise<TableReplica> {
        // A cluster may have targets for the baseline only, whose services the bundle doesn't declare.
        const declared = ({ service }: { service: string }) => this.options.bundle.includes(`[service ${service}]`);
        const expected = this.cluster.targets.filter(declared).length;
        let replica = new TableReplica();
        await waitFor(async () => {
            replica = await this.rows();
            const targets = replica.allTargets().map(({ value }) => value);
            return (
                targets.length >= expected &&
                targets.every(row => hasPreferredDispatcher(replica, row)) &&
                this.options.services
                    .filter(({ name }) => declared({ service: name }))
                    .every(({ name }) => isFullyOwned(replica, name))
            );
        }, limitMs);
        return replica;
    }

    /** Returns the output of all instances, including those that have exited. */
    logs(): string {
        return this.launched.map(({ name, program }) => `== ${name}\n${program.stdout}\n${program.stderr}`).join("\n");
    }

    async dispose(): Promise<void> {
        await this.table.dispose();
        await this.objects.dispose();
        await this.cluster.dispose();
    }

    /** Returns the number of registered instances in state `active`. */
    async activeMembers(): Promise<number> {
        return (await this.rows()).allMembers().filter(({ value }) => value.state === "active").length;
    }

    private evenMap(service: string): BaselineTarget[] {
        const targets = this.cluster.targets.filter(target => target.service === service);
        const layout = initialLayout(targets.map(({ name }) => name).sort(), DEFAULT_INITIAL_SLICES);
        return targets.map(({ name, address }) => ({
            service,
            target: name,
            address,
            slices: layout.get(name) ?? [],
        }));
    }
}
