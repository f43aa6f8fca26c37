import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { DatagramHandler, PeerAddress } from "./peerPort.js";
import { decodePeersMessage, encodePeersMessage, type Peer } from "./peersMessage.js";
import { selectPeers } from "./selectPeers.js";

/** Interval at which an instance asks for others, in milliseconds. */
const ASK_PERIOD_MS = 5_000;
/** Interval at which it asks without an answer, or while it sends requests through others, in milliseconds. */
const REPEAT_MS = 1_000;
/** Minimum time between two questions while an instance needs others, in milliseconds. */
const ASK_PAUSE_MS = 300;

/**
 * Learns of other instances from the one that assigns keys, to which all of them make themselves known. An instance asks before it
 * needs any, since the one that assigns keys may be lost together with a path to targets.
 *
 * @example
 * const exchange = new PeersExchange({ clock, domain: "linz", isAssigning, assigner, others, self, isNeeded, told, send, random });
 * exchange.start();
 */
export class PeersExchange {
    private readonly disposables = new DisposableStore();
    private askedAt = -Infinity;
    private toldAt = -Infinity;

    constructor(
        private readonly options: {
            clock: Clock;
            domain: string;
            isAssigning: () => boolean;
            /** Address of the instance that assigns keys; `undefined` while it is unknown or is this one. */
            assigner: () => PeerAddress | undefined;
            /** The other instances through which targets can be reached; known while this instance assigns keys. */
            others: () => Peer[];
            /** This instance, as the others may use it; `undefined` while it reaches no target. */
            self: () => Peer | undefined;
            /** Whether this instance sends requests through others at present. */
            isNeeded: () => boolean;
            /** Called with the instances that this one may use. */
            told: (peers: Peer[]) => void;
            send: (address: PeerAddress, content: Buffer) => void;
            random: () => number;
        },
    ) {}

    start(): void {
        this.disposables.add(repeat(this.options.clock, REPEAT_MS, () => this.askIfDue()));
    }

    dispose(): void {
        void this.disposables.dispose();
    }

    /** Asks before it is due, because an instance is needed. */
    ask(): void {
        if (this.options.clock.monotonicMs() - this.askedAt >= ASK_PAUSE_MS) {
            this.askNow();
        }
    }

    /** Handles a datagram of another instance; returns `false` if it isn't about instances. */
    receive: DatagramHandler = (content, sender) => {
        const message = decodePeersMessage(content);
        if (message === undefined) {
            return false;
        }
        const { clock, isAssigning, others, self, told, send, random } = this.options;
        if (message.type === "peers-told") {
            this.toldAt = clock.monotonicMs();
            told(message.peers);
        } else if (isAssigning()) {
            const known = [...others(), self()].filter(peer => peer !== undefined);
            const askable = known.filter(({ address }) => !isSame(address, sender));
            const peers = selectPeers(askable, message.domain, random);
            send(sender, encodePeersMessage({ type: "peers-told", peers }));
        }
        return true;
    };

    private askIfDue(): void {
        const now = this.options.clock.monotonicMs();
        const isAnswered = this.toldAt >= this.askedAt;
        if (!isAnswered || this.options.isNeeded() || now - this.askedAt >= ASK_PERIOD_MS) {
            this.askNow();
        }
    }

    private askNow(): void {
        const { clock, domain, isAssigning, assigner, others, told, send, random } = this.options;
        if (isAssigning()) {
            this.askedAt = clock.monotonicMs();
            this.toldAt = this.askedAt;
            told(selectPeers(others(), domain, random));
            return;
        }
        const address = assigner();
        if (address !== undefined) {
            this.askedAt = clock.monotonicMs();
            send(address, encodePeersMessage({ type: "peers-ask", domain }));
        }
    }
}

const isSame = (first: PeerAddress, second: PeerAddress): boolean =>
    first.host === second.host && first.port === second.port;
