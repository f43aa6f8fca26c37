import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { repeat } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import type { DatagramHandler, PeerAddress } from "./peerPort.js";
import type { Peer } from "./peersMessage.js";
import {
    decodeRelayMessage,
    encodeRelayMessage,
    MAX_RELAY_BYTES,
    type RelayedChanges,
    type RelayMessage,
} from "./relayMessage.js";
import { RelayStream, type TableStep } from "./relayStream.js";

/** Interval at which an instance asks for changes, in milliseconds. */
const FOLLOW_PERIOD_MS = 1_000;
/** Time after which an instance that no longer asks gets no more changes, in milliseconds. */
const FOLLOW_LIFETIME_MS = 3_500;
/** Maximum number of instances that get changes. Any further ones read the store themselves. */
const MAX_FOLLOWERS = 600;
/** Interval at which the state of all tables is passed on without changes, in milliseconds. */
const KEEPALIVE_MS = 400;
/** Time in milliseconds for which changes are collected, since targets that start or leave together change together. */
const COLLECTING_MS = 10;
/** Minimum time between two messages for each instance that gets them, in milliseconds; limits the datagrams per second. */
const PACE_MS_PER_FOLLOWER = 1;
/** Time without any message after which the relay counts as silent, in milliseconds; some keepalives may be lost. */
const SILENCE_MS = 3 * KEEPALIVE_MS;

/** An instance that gets changes. */
interface Follower {
    address: PeerAddress;
    /** Monotonic time in milliseconds at which it last asked. */
    askedAt: number;
    /** Its failure domain, if it states one. */
    domain: string | undefined;
    isCutOff: boolean;
}

/** A table that the relay covers. */
export interface RelayedTable {
    /** Whether its content is known, and the store's last call has not failed. */
    isCurrent(): boolean;
    /** Milliseconds since the store's last answer. */
    silentMs(): number;
    /** Applies changes that another instance has read. */
    relayed(changes: RelayedChanges): void;
}

/**
 * Passes changes of the store from the instance that assigns keys to all others, so that not every instance has to read each
 * change itself. A message states how old its content is. An instance that has missed one, or gets none, reads the store
 * itself: the relay saves calls and isn't needed for any decision.
 *
 * @example
 * const relay = new StoreRelay({ clock, logger, isSource, source, send, silent, domain, isCutOff });
 * relay.cover("servers", follower);
 * relay.start();
 */
export class StoreRelay {
    private readonly tables = new Map<string, { table: RelayedTable; stream: RelayStream }>();
    /** Instances that get changes, by address. */
    private readonly followers = new Map<string, Follower>();
    private readonly disposables = new DisposableStore();
    private heardAt = -Infinity;
    private wasHeard = false;
    private sentAt = -Infinity;
    private cancelSend: TimerCancellation | undefined;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Whether this instance passes changes on. */
            isSource: () => boolean;
            /** Address of the instance that does; `undefined` while it is unknown or is this one. */
            source: () => PeerAddress | undefined;
            send: (address: PeerAddress, content: Buffer) => void;
            /** Called when the first instance gets changes from this one. */
            began: () => void;
            /** Called when no messages come any more; the source may have changed. */
            silent: () => void;
            /** Failure domain of this instance. */
            domain: string;
            /** Whether this instance reaches no target. */
            isCutOff: () => boolean;
        },
    ) {}

    /** The instances that get changes from this one and reach targets. */
    peers(): Peer[] {
        return [...this.followers.values()].flatMap(({ address, domain, isCutOff }) =>
            domain === undefined || isCutOff ? [] : [{ address, domain }],
        );
    }

    /** Whether this instance passes changes on to others. */
    get isSending(): boolean {
        return this.followers.size > 0 && this.options.isSource();
    }

    /** Whether messages come. */
    get isHeard(): boolean {
        return this.options.clock.monotonicMs() - this.heardAt < SILENCE_MS;
    }

    /** Adds a table. */
    cover(name: string, table: RelayedTable): void {
        this.tables.set(name, { table, stream: new RelayStream(name) });
    }

    start(): void {
        const { clock } = this.options;
        this.disposables.add(repeat(clock, FOLLOW_PERIOD_MS, () => this.follow()));
        this.disposables.add(repeat(clock, KEEPALIVE_MS, () => this.keepAlive()));
    }

    dispose(): void {
        void this.disposables.dispose();
        this.cancelSend?.();
    }

    /** Takes what this instance has read from a table. */
    read(name: string, step: TableStep): void {
        const stream = this.tables.get(name)?.stream;
        stream?.add(step);
        if (stream?.hasChanges === true && this.isSending) {
            const paceMs = this.followers.size * PACE_MS_PER_FOLLOWER;
            const waitMs = this.sentAt + paceMs - this.options.clock.monotonicMs();
            this.cancelSend ??= this.options.clock.setTimer(Math.max(COLLECTING_MS, waitMs), () => this.send());
        }
    }

    /** Handles a datagram of another instance; returns `false` if it isn't one of the relay. */
    receive: DatagramHandler = (content, sender) => {
        const message = decodeRelayMessage(content);
        if (message === undefined) {
            return false;
        }
        const now = this.options.clock.monotonicMs();
        if (message.type === "relay") {
            this.heardAt = now;
            message.tables.forEach(changes => this.tables.get(changes.table)?.table.relayed(changes));
            return true;
        }
        const key = `${sender.host}:${sender.port}`;
        if (this.followers.has(key) || this.followers.size < MAX_FOLLOWERS) {
            const { domain, isCutOff = false } = message;
            const wasSending = this.isSending;
            this.followers.set(key, { address: sender, askedAt: now, domain, isCutOff });
            if (this.isSending && !wasSending) {
                this.options.began();
            }
        }
        return true;
    };

    /** Asks the source for changes, and notices when it is silent. */
    private follow(): void {
        const { logger, source, send, silent, domain, isCutOff } = this.options;
        const address = source();
        if (address !== undefined) {
            send(address, encodeRelayMessage({ type: "relay-follow", domain, isCutOff: isCutOff() || undefined }));
        }
        if (this.wasHeard && !this.isHeard) {
            logger.warn("Changes of the store are no longer relayed; reading the store.", {});
            silent();
        } else if (!this.wasHeard && this.isHeard) {
            logger.info("Changes of the store are relayed.", { source: address && `${address.host}:${address.port}` });
        }
        this.wasHeard = this.isHeard;
    }

    private keepAlive(): void {
        const now = this.options.clock.monotonicMs();
        for (const [key, { askedAt }] of this.followers) {
            if (now - askedAt > FOLLOW_LIFETIME_MS) {
                this.followers.delete(key);
            }
        }
        this.send();
    }

    /** Sends the changes that were collected, and the state of the tables without changes. */
    private send(): void {
        this.cancelSend?.();
        this.cancelSend = undefined;
        if (!this.isSending) {
            return;
        }
        this.sentAt = this.options.clock.monotonicMs();
        const parts = [...this.tables.values()]
            .filter(({ table }) => table.isCurrent())
            .flatMap(({ table, stream }) => stream.take(table.silentMs()));
        const datagrams = packed(parts).map(tables => encodeRelayMessage({ type: "relay", tables }));
        for (const { address } of this.followers.values()) {
            datagrams.forEach(datagram => this.options.send(address, datagram));
        }
    }
}

/** Distributes changes over as few messages as possible. */
const packed = (parts: readonly RelayedChanges[]): Extract<RelayMessage, { type: "relay" }>["tables"][] => {
    const messages: RelayedChanges[][] = [];
    let bytes = Infinity;
    for (const part of parts) {
        const size = JSON.stringify(part).length;
        if (bytes + size > MAX_RELAY_BYTES) {
            messages.push([]);
            bytes = 0;
        }
        messages.at(-1)?.push(part);
        bytes += size;
    }
    return messages;
};
