import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { systemClock } from "../../src/process/runtime/clock.js";
import type { Result } from "neverthrow";
import type { RollFailure, RollOptions, RollResult } from "../../src/process/bundles/bundleRollout.js";
import { PlatformTable } from "../../src/process/store/platformTable.js";
import { TableReplica } from "../../src/process/store/tableReplica.js";
import { generateSigningKeys } from "../../src/version/signature.js";
import { rollSigned, SIGNER, startEntryInstance } from "./entryInstance.js";
import { FaultProxy } from "./faultProxy.js";
import { PeerNetwork } from "./peerNetwork.js";
import { waitFor } from "./waitFor.js";
import { TestCluster, type ClusterDaemon, type ClusterOptions } from "./testCluster.js";

/** An entry instance of a router cluster. */
export interface RouterInstance {
    name: string;
    domain: string;
    daemon: ClusterDaemon;
    /** Address for callers. */
    callers: string;
    /** Proxy in front of the instance's peer address. */
    peerProxy: FaultProxy;
    /** Proxy between the instance and the platform. */
    platformProxy: FaultProxy;
    settingsFile: string;
}

/**
 * A test cluster with entry instances, each with fault proxies towards its peers and the platform, and a signed
 * bundle.
 *
 * @example
 * const router = await RouterCluster.start({ domains: ["d1"], services, bundle: text, instancesPerDomain: 2 });
 * await router.waitUntilOwned();
 * await router.dispose();
 */
export class RouterCluster {
    readonly instances: RouterInstance[] = [];
    private readonly keys = generateSigningKeys();
    private readonly proxies: FaultProxy[] = [];
    /** Network between the instances of a splittable cluster, in addition to their fault proxies. */
    readonly network = new PeerNetwork(address =>
        this.instances.find(({ peerProxy }) => peerProxy.address === address),
    );
    private started = 0;

    private constructor(
        readonly cluster: TestCluster,
        private readonly timing: Record<string, string>,
        private readonly splittable: boolean,
    ) {}

    static async start(
        options: ClusterOptions & {
            bundle: string;
            instancesPerDomain: number;
            /** Fields of the section `timing` that override the defaults. */
            timing?: Record<string, string>;
            /** Whether instances connect to each other through `network`, so that it can partition them. */
            splittable?: boolean;
        },
    ): Promise<RouterCluster> {
        const cluster = await TestCluster.start(options);
        const router = new RouterCluster(cluster, options.timing ?? {}, options.splittable ?? false);
        try {
            const names = options.domains.flatMap(domain =>
                Array.from({ length: options.instancesPerDomain }, (_, index) => ({
                    domain,
                    name: `${domain}-e${index + 1}`,
                })),
            );
            await Promise.all(names.map(({ domain, name }) => router.startInstance(domain, name)));
            router.instances.sort((a, b) => (a.name < b.name ? -1 : 1));
            await router.roll(options.bundle);
            return router;
        } catch (error) {
            await router.dispose();
            throw error;
        }
    }

    /** Starts an entry instance and adds it to the platform's instance list. */
    async startInstance(domain: string, name: string): Promise<RouterInstance> {
        const platformProxy = await this.proxyTo(this.cluster.platform.address);
        // The system chooses the peer port, so the proxy's upstream is set after the start.
        const peerProxy = await this.proxyTo("127.0.0.1:1");
        const settingsFile = join(this.cluster.folder, `${name}-${++this.started}.ini`);
        const daemon = await startEntryInstance(this.cluster, {
            name,
            domain,
            keys: this.keys,
            settingsFile,
            platformUrl: `http://${platformProxy.address}`,
            peersAdvertised: peerProxy.address,
            timing: this.timing,
            environment: this.splittable ? { grpc_proxy: await this.network.proxyOf({ name, domain }) } : {},
        });
        peerProxy.setUpstream(daemon.program.listening.peers);
        const instance = {
            name,
            domain,
            daemon,
            callers: daemon.program.listening.callers,
            peerProxy,
            platformProxy,
            settingsFile,
        };
        this.instances.push(instance);
        return instance;
    }

    /** Options for calling an instance with the command-line tool as the listed signer. */
    operatorOptions({ daemon }: RouterInstance): string[] {
        const key = join(this.cluster.folder, `${SIGNER}.key`);
        writeFileSync(key, this.keys.privateKeyPem, { mode: 0o600 });
        return ["--plain", "--address", daemon.program.listening.operators, "--signer", SIGNER, "--key", key];
    }

    /** Removes an instance from the instance list, as the platform does some time after its exit. */
    async unlist(instance: RouterInstance): Promise<void> {
        this.instances.splice(this.instances.indexOf(instance), 1);
        await this.cluster.platform.changeInstance({ name: instance.name, remove: true });
    }

    /** Signs and rolls out a bundle; throws unless it is accepted. */
    async roll(text: string): Promise<void> {
        const result = await this.tryRoll(text);
        if (result.isErr()) {
            throw new Error(`The bundle was not accepted: ${JSON.stringify(result.error)}`);
        }
    }

    /** Signs and rolls out a bundle with its own platform clients, like the command-line tool; returns the result. */
    tryRoll(
        text: string,
        options: Partial<Pick<RollOptions, "onProgress" | "limitMs" | "pollMs">> = {},
    ): Promise<Result<RollResult, RollFailure>> {
        return rollSigned(this.cluster, this.keys, text, options);
    }

    /** Reads the current rows of the table. */
    async rows(): Promise<TableReplica> {
        const table = new PlatformTable({ url: this.cluster.platform.url, clock: systemClock });
        const replica = new TableReplica();
        for (const prefix of ["member/", "target/", "service/", "bundle/"]) {
            const rows = await table.scan(prefix);
            if (rows.isOk()) {
                replica.apply(rows.value.rows);
            }
        }
        await table.dispose();
        return replica;
    }

    /** Waits until each target has a registered dispatcher and the slices of each service are distributed. */
    async waitUntilOwned(limitMs = 20_000): Promise<void> {
        await waitFor(async () => {
            const replica = await this.rows();
            const members = new Set(replica.allMembers().map(({ value }) => value.incarnation));
            const targets = replica.allTargets();
            return (
                targets.length >= this.cluster.targets.length &&
                targets.every(({ value }) => members.has(value.dispatcher))
            );
        }, limitMs);
    }

    /** Logs of all instances, including ended ones. */
    logs(): string {
        return this.cluster.daemons
            .map(({ instance, program }) => `== ${instance}\n${program.stdout}\n${program.stderr}`)
            .join("\n");
    }

    async dispose(): Promise<void> {
        try {
            await this.cluster.dispose();
        } finally {
            await Promise.all([...this.proxies.map(proxy => proxy.dispose()), this.network.dispose()]);
        }
    }

    private async proxyTo(address: string): Promise<FaultProxy> {
        const proxy = await FaultProxy.listen(address);
        this.proxies.push(proxy);
        return proxy;
    }
}
