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

/** A small valid bundle; the name makes the contents of equal versions differ. */
export const bundleText = (version: number, name = "test", expires = "2099-12-31"): Buffer =>
    Buffer.from(
        `version = ${version}\nname = ${name}\nexpires = ${expires}\n` +
            "[service stock]\npath = /stock\ndivided-by = key\ngrants = checked\nslots = 6\n" +
            "[kind stock.lookup]\nmethods = GET\npattern = /stock/:item\nidempotent = true\n",
    );

/** Signs content for a version. */
export const signedBy = (author: SignerName, content: Buffer, version: number): BundleSignature =>
    signBundle(content, version, author, KEYS[author].privateKeyPem)._unsafeUnwrap();

/** Content with its signature. */
export const signedBundle = (version: number, author: SignerName = "anna", name: string = author) => {
    const content = bundleText(version, name);
    return { content, signature: signedBy(author, content, version) };
};

/** One instance of the world. */
export interface WorldInstance {
    name: string;
    domain: string;
    replica: TableReplica;
    keeper: BundleKeeper;
    /** An unreachable instance gets no rows. */
    reachable: boolean;
    /** Versions put in force, in order. */
    versions: number[];
}

/** Instances in several domains over one platform, driven by a manual clock. */
export class BundleWorld {
    readonly clock = new ManualClock();
    readonly table = new MemoryTable(this.clock);
    readonly objects = new MemoryObjects(this.clock);
    readonly instances: WorldInstance[] = [];

    /** Adds and registers an instance. */
    async add(
        domain: string,
        name: string,
        options: { signers?: Signers; fetchFromPeers?: (digest: string) => AsyncIterable<Buffer> } = {},
    ): Promise<WorldInstance> {
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

    /** Starts a rollout. */
    roll(bundle: { content: Buffer; signature: BundleSignature | undefined }, options: Partial<RollOptions> = {}) {
        const { table, objects, clock } = this;
        return rollBundle({ table, objects, clock, signers: SIGNERS, limitMs: 10_000, ...bundle, ...options });
    }

    /** Moves time forward in steps, pushing the table's rows to the reachable instances in each. */
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

    /** Moves time forward until a promise has settled, for at most a minute of the clock. */
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
