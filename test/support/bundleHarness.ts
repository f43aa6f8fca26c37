import { BundleKeeper } from "../../src/process/bundles/bundleKeeper.js";
import { rollBundle, type RollOptions } from "../../src/process/bundles/bundleRollout.js";
import type { Logger } from "../../src/process/observability/logger.js";
import { memberRowKey } from "../../src/process/store/rows.js";
import { TableReplica } from "../../src/process/store/tableReplica.js";
import { generateSigningKeys, signBundle, type BundleSignature, type Signers } from "../../src/version/signature.js";
import { ManualClock } from "./manualClock.js";
import { MemoryObjects, MemoryTable } from "./memoryPlatform.js";

const KEYS = { anna: generateSigningKeys(), bela: generateSigningKeys() };
export type SignerName = keyof typeof KEYS;

export const SIGNERS: Signers = { anna: KEYS.anna.publicKey, bela: KEYS.bela.publicKey };

const SILENT_LOGGER: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

/** A small valid bundle. Different names give different contents of the same version. */
export const bundleText = (version: number, name = "test", expires = "2099-12-31"): Buffer =>
    Buffer.from(
        `version = ${version}\nname = ${name}\nexpires = ${expires}\n` +
            "[service stock]\npath = /stock\ndivided-by = key\ngrants = checked\nslots = 6\n" +
            "[kind stock.lookup]\nmethods = GET\npattern = /stock/:item\nidempotent = true\n",
    );

export const signedBy = (author: SignerName, content: Buffer, version: number): BundleSignature =>
    signBundle(content, version, author, KEYS[author].privateKeyPem)._unsafeUnwrap();

/** Content with its signature. */
export const signedBundle = (version: number, author: SignerName = "anna", name: string = author) => {
    const content = bundleText(version, name);
    return { content, signature: signedBy(author, content, version) };
};

/** An instance with its replica and bundle keeper. */
export interface BundleInstance {
    name: string;
    domain: string;
    replica: TableReplica;
    keeper: BundleKeeper;
    /** Whether the instance receives rows. */
    reachable: boolean;
    /** Versions that took effect, in order. */
    versions: number[];
}

/** Instances in several domains that share one in-memory platform and a manual clock. */
export class BundleHarness {
    readonly clock = new ManualClock();
    readonly table = new MemoryTable(this.clock);
    readonly objects = new MemoryObjects(this.clock);
    readonly instances: BundleInstance[] = [];

    /** Adds and registers an instance. */
    async add(
        domain: string,
        name: string,
        options: { signers?: Signers; fetchFromPeers?: (digest: string) => AsyncIterable<Buffer> } = {},
    ): Promise<BundleInstance> {
        const replica = new TableReplica();
        const keeper = new BundleKeeper({
            instance: name,
            domain,
            replica,
            table: this.table,
            objects: this.objects,
            clock: this.clock,
            signers: options.signers ?? SIGNERS,
            logger: SILENT_LOGGER,
            fetchFromPeers: options.fetchFromPeers ?? (digest => this.contentsOfPeers(digest)),
        });
        const instance = { name, domain, replica, keeper, reachable: true, versions: [] as number[] };
        keeper.onChange(({ bundle }) => instance.versions.push(bundle.version));
        const member = { instance: name, domain, incarnation: "1", peerAddress: "127.0.0.1:1", state: "active" };
        await this.table.transact([], [{ key: memberRowKey(domain, name), value: member }]);
        keeper.start();
        this.instances.push(instance);
        return instance;
    }

    roll(bundle: { content: Buffer; signature: BundleSignature | undefined }, options: Partial<RollOptions> = {}) {
        const { table, objects, clock } = this;
        return rollBundle({ table, objects, clock, signers: SIGNERS, limitMs: 10_000, ...bundle, ...options });
    }

    /** Advances the clock in steps and applies the table's rows at the reachable instances in each step. */
    async advance(byMs: number, stepMs = 50): Promise<void> {
        for (let passed = 0; passed < byMs; passed += stepMs) {
            this.clock.advance(stepMs);
            await new Promise(resolve => setImmediate(resolve));
            for (const { replica, reachable } of this.instances) {
                if (reachable) {
                    replica.apply(this.table.all());
                }
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Advances the clock until a promise has resolved, by at most one minute. */
    async until<Value>(promise: Promise<Value>): Promise<Value> {
        const state: { settled?: { value: Value } } = {};
        void promise.then(value => (state.settled = { value }));
        for (let step = 0; state.settled === undefined && step < 1_200; step++) {
            await this.advance(50);
        }
        if (state.settled === undefined) {
            throw new Error("The operation did not end within a minute.");
        }
        return state.settled.value;
    }

    private async *contentsOfPeers(digest: string): AsyncIterable<Buffer> {
        for (const { keeper } of this.instances) {
            const content = keeper.content(digest);
            if (content !== undefined) {
                yield content;
            }
        }
    }
}
