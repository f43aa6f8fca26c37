import type { Bundle } from "../../version/bundle.js";
import {
    bundleDigest,
    verifyBundle,
    verifySignature,
    type BundleSignature,
    type Signers,
} from "../../version/signature.js";
import {
    BUNDLE_CURRENT_KEY,
    BUNDLE_OFFER_KEY,
    bundleConfirmedKey,
    bundleConfirmedRowSchema,
    bundleCurrentRowSchema,
    bundleOfferRowSchema,
    type BundleObjects,
    type BundleTable,
} from "./bundleRows.js";
import type { Clock } from "../runtime/clock.js";
import { CoalescedTask } from "../runtime/coalescedTask.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import type { TableReplica } from "../store/tableReplica.js";

/** Delay before retrying to fetch content or to write the domain's decision. */
export const DEFAULT_BUNDLE_RETRY_MS = 250;
/** Delay before peers are asked in addition to the object store. */
export const DEFAULT_PEER_FETCH_DELAY_MS = 300;
/** Timeout of one attempt to fetch content. Several fit into the 5 s within which an accepted bundle is in force. */
export const DEFAULT_CONTENT_TIMEOUT_MS = 1_500;
/** Each member of a domain waits this much longer than the previous one, so that usually only one of them writes. */
export const DEFAULT_CONFIRM_STAGGER_MS = 250;

/** The bundle that an instance currently applies. */
export interface BundleInForce {
    bundle: Bundle;
    signature: BundleSignature;
}

/** Options of a {@link BundleKeeper}. */
export interface BundleKeeperOptions {
    instance: string;
    domain: string;
    replica: TableReplica;
    table: BundleTable;
    objects: BundleObjects;
    signers: Signers;
    clock: Clock;
    logger: Logger;
    /** Contents that peers hold for a digest, one peer after the other. The keeper verifies them. */
    fetchFromPeers: (digest: string) => AsyncIterable<Buffer>;
}

/**
 * Maintains the bundle in force of one instance. Watches the rows `bundle/offer` and `bundle/current` in the replica,
 * fetches their content from the object store or from peers, verifies digest and signature itself, and writes the
 * decision of its domain on an offer. The version in force only increases.
 *
 * @example
 * const keeper = new BundleKeeper(options);
 * keeper.onChange(({ bundle }) => dispatcher.use(bundle));
 * keeper.start();
 */
export class BundleKeeper {
    private readonly store = new DisposableStore();
    private readonly contents = new Map<string, Buffer>();
    private readonly listeners = new Set<(inForce: BundleInForce) => void>();
    /** Called when content has been fetched from any source. */
    private readonly contentListeners = new Set<(digest: string, content: Buffer) => void>();
    private readonly adoption: CoalescedTask;
    private readonly confirmation: CoalescedTask;
    private inForce: BundleInForce | undefined;
    /** Version of the row `bundle/current` that was last refused, so that it is logged only once. */
    private refusedRowVersion: number | undefined;
    private offerSeen: { row: number; atMs: number } | undefined;

    constructor(private readonly options: BundleKeeperOptions) {
        this.adoption = new CoalescedTask(options.clock, () => this.adoptCurrent());
        this.confirmation = new CoalescedTask(options.clock, () => this.decideOffer());
    }

    /** Starts to watch the replica. */
    start(): void {
        this.store.add(
            this.options.replica.onChange(changed => {
                if (changed.some(({ key }) => key.startsWith("bundle/"))) {
                    this.wake();
                }
            }),
        );
        this.store.add(this.adoption);
        this.store.add(this.confirmation);
        this.wake();
    }

    async dispose(): Promise<void> {
        await this.store.dispose();
    }

    /** The bundle in force. While it is `undefined`, the instance must refuse every request. */
    current(): BundleInForce | undefined {
        return this.inForce;
    }

    /** Calls `listener` after each change of the bundle in force. Returns a function that removes the listener. */
    onChange(listener: (inForce: BundleInForce) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Cached content with a digest, for peers that can't reach the platform. */
    content(digest: string): Buffer | undefined {
        return this.contents.get(digest);
    }

    private wake(): void {
        this.adoption.wake();
        this.confirmation.wake();
    }

    /** Puts the accepted bundle in force if its version is higher. Returns the delay before a retry. */
    private async adoptCurrent(): Promise<number | undefined> {
        const { replica, signers, logger } = this.options;
        const row = replica.get(BUNDLE_CURRENT_KEY, bundleCurrentRowSchema);
        const inForceVersion = this.inForce?.bundle.version ?? 0;
        if (row === undefined || row.value.version <= inForceVersion || row.version === this.refusedRowVersion) {
            return undefined;
        }
        const signature = verifySignature(row.value, signers);
        const content = signature.isOk() ? await this.fetchContent(row.value.digest) : undefined;
        if (signature.isOk() && content === undefined) {
            logger.warn("Content of the accepted bundle can't be fetched; trying again.", {
                version: row.value.version,
            });
            return DEFAULT_BUNDLE_RETRY_MS;
        }
        // The expiry limits acceptance only, so it isn't checked for a bundle that has been accepted.
        const verified = signature.andThen(() =>
            verifyBundle(content ?? Buffer.alloc(0), row.value, { signers, wallMs: undefined, inForceVersion }),
        );
        if (verified.isErr()) {
            this.refusedRowVersion = row.version;
            const { type, detail } = verified.error;
            logger.error("Accepted bundle is refused by this instance.", { refusal: type, detail });
            return undefined;
        }
        const { version, digest, author, signature: signed } = row.value;
        this.inForce = { bundle: verified.value, signature: { version, digest, author, signature: signed } };
        this.evictUnreferenced();
        logger.info("Bundle is in force.", { version, author });
        for (const listener of this.listeners) {
            listener(this.inForce);
        }
        return undefined;
    }

    /** Writes the decision of this domain on the offer. Returns the delay before a retry. */
    private async decideOffer(): Promise<number | undefined> {
        const { replica, signers, clock, domain, instance, table, logger } = this.options;
        const offer = replica.get(BUNDLE_OFFER_KEY, bundleOfferRowSchema);
        if (offer === undefined || offer.value.state !== "offered" || this.isDecided(offer.version)) {
            return undefined;
        }
        const { version, digest } = offer.value;
        const current = replica.get(BUNDLE_CURRENT_KEY, bundleCurrentRowSchema)?.value.version ?? 0;
        const inForceVersion = Math.max(current, this.inForce?.bundle.version ?? 0);
        if (version <= inForceVersion) {
            return undefined;
        }
        if (this.offerSeen?.row !== offer.version) {
            this.offerSeen = { row: offer.version, atMs: clock.monotonicMs() };
        }
        const signature = verifySignature(offer.value, signers);
        const content = signature.isOk() ? await this.fetchContent(digest) : undefined;
        if (signature.isOk() && content === undefined) {
            return DEFAULT_BUNDLE_RETRY_MS;
        }
        const waitMs = this.offerSeen.atMs + this.rank() * DEFAULT_CONFIRM_STAGGER_MS - clock.monotonicMs();
        if (waitMs > 0) {
            return waitMs;
        }
        if (this.isDecided(offer.version) || replica.row(BUNDLE_OFFER_KEY)?.version !== offer.version) {
            return 0;
        }
        const verified = signature.andThen(() =>
            verifyBundle(content ?? Buffer.alloc(0), offer.value, { signers, wallMs: clock.wallMs(), inForceVersion }),
        );
        const decision = verified.isOk() ? "confirmed" : "refused";
        const reason = verified.isErr() ? verified.error.detail : undefined;
        const key = bundleConfirmedKey(domain);
        const written = await table.transact(
            [
                { key, version: replica.conditionVersion(key) },
                { key: BUNDLE_OFFER_KEY, version: offer.version },
            ],
            [{ key, value: { domain, version, digest, offer: offer.version, decision, reason, instance } }],
        );
        if (written.isErr()) {
            logger.warn("Decision on the offered bundle can't be written; trying again.", { version });
            return DEFAULT_BUNDLE_RETRY_MS;
        }
        replica.apply(written.value.rows);
        if (written.value.type === "conflict") {
            return DEFAULT_BUNDLE_RETRY_MS;
        }
        logger.info("Domain has decided on the offered bundle.", { version, decision, reason });
        return undefined;
    }

    private isDecided(offerRow: number): boolean {
        const key = bundleConfirmedKey(this.options.domain);
        return this.options.replica.get(key, bundleConfirmedRowSchema)?.value.offer === offerRow;
    }

    /** Zero-based index of this instance among the active members of its domain. */
    private rank(): number {
        const active = this.options.replica
            .members(this.options.domain)
            .filter(({ value }) => value.state === "active")
            .map(({ value }) => value.instance)
            .sort();
        const index = active.indexOf(this.options.instance);
        return index === -1 ? active.length : index;
    }

    /** Gets content by its digest: from the cache, from the object store or, after a delay, from peers. */
    private async fetchContent(digest: string): Promise<Buffer | undefined> {
        const cached = this.contents.get(digest);
        if (cached !== undefined) {
            return cached;
        }
        const { clock } = this.options;
        return new Promise<Buffer | undefined>(resolve => {
            const finish = (content: Buffer | undefined) => {
                cancelTimeout();
                this.contentListeners.delete(onContent);
                resolve(content);
            };
            const onContent = (arrived: string, content: Buffer) => {
                if (arrived === digest) {
                    finish(content);
                }
            };
            let pendingSources = 2;
            const settle = (content: Buffer | undefined) => {
                pendingSources--;
                if (content !== undefined) {
                    // Content that arrives late is cached, because the next attempt would otherwise time out too.
                    this.cacheContent(digest, content);
                    this.wake();
                }
                if (content !== undefined || pendingSources === 0) {
                    finish(content);
                }
            };
            let peersAsked = false;
            const askPeers = () => {
                if (!peersAsked) {
                    peersAsked = true;
                    void this.fetchFromPeers(digest).then(settle);
                }
            };
            const cancelTimeout = clock.setTimer(DEFAULT_CONTENT_TIMEOUT_MS, () => finish(undefined));
            this.contentListeners.add(onContent);
            const cancelDelay = clock.setTimer(DEFAULT_PEER_FETCH_DELAY_MS, askPeers);
            void this.fetchFromObjects(digest).then(content => {
                cancelDelay();
                settle(content);
                if (content === undefined) {
                    askPeers();
                }
            });
        });
    }

    private async fetchFromObjects(digest: string): Promise<Buffer | undefined> {
        const answer = await this.options.objects.get(digest);
        return answer.isOk() && answer.value !== undefined && bundleDigest(answer.value) === digest
            ? answer.value
            : undefined;
    }

    private async fetchFromPeers(digest: string): Promise<Buffer | undefined> {
        try {
            for await (const content of this.options.fetchFromPeers(digest)) {
                if (bundleDigest(content) === digest) {
                    return content;
                }
                this.options.logger.warn("A peer sent content that doesn't match its digest.", { digest });
            }
        } catch (error) {
            const detail = error instanceof Error ? error.message : "unknown reason";
            this.options.logger.warn("Content of a bundle can't be fetched from peers.", { detail });
        }
        return undefined;
    }

    /** Caches content only if a row refers to it, so that memory holds at most the current and the offered bundle. */
    private cacheContent(digest: string, content: Buffer): void {
        this.evictUnreferenced();
        if (this.referencedDigests().includes(digest)) {
            this.contents.set(digest, content);
            this.contentListeners.forEach(listener => listener(digest, content));
        }
    }

    private evictUnreferenced(): void {
        const referenced = this.referencedDigests();
        for (const digest of this.contents.keys()) {
            if (!referenced.includes(digest)) {
                this.contents.delete(digest);
            }
        }
    }

    private referencedDigests(): (string | undefined)[] {
        const { replica } = this.options;
        return [
            this.inForce?.signature.digest,
            replica.get(BUNDLE_CURRENT_KEY, bundleCurrentRowSchema)?.value.digest,
            replica.get(BUNDLE_OFFER_KEY, bundleOfferRowSchema)?.value.digest,
        ];
    }
}
