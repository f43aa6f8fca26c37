import type { Clock } from "../runtime/clock.js";
import { choosePeer, crossingsOf } from "./choosePeer.js";
import { ForwardingPeer, type ForwardingOutcome } from "./forwardingPeer.js";
import type { Peer } from "./peersMessage.js";

/** Time after which an instance that is no longer named isn't used any more, in milliseconds. */
const FORGET_MS = 30_000;

/**
 * The other instances that this one may forward requests to.
 *
 * @example
 * peers.told([{ address: { host: "10.1.0.16", port: 7620 }, domain: "linz" }]);
 * peers.choose("wels", new Set(), true);
 */
export class ForwardingPeers {
    private readonly peers = new Map<string, { view: ForwardingPeer; toldAt: number }>();
    /** Monotonic time in milliseconds at which this instance was last told of others. */
    private lastToldAt = -Infinity;

    constructor(
        private readonly options: {
            clock: Clock;
            /** Failure domain of this instance. */
            domain: string;
            random: () => number;
            /** Called with the end of each request that was sent through another instance. */
            ended: (outcome: ForwardingOutcome) => void;
        },
    ) {}

    /** Adds instances that this one was told of, and drops those that haven't been named for long. */
    told(peers: readonly Peer[]): void {
        if (peers.length === 0) {
            // An instance that has just begun to assign keys knows no others yet.
            return;
        }
        const now = this.options.clock.monotonicMs();
        this.lastToldAt = now;
        for (const peer of peers) {
            const name = `${peer.address.host}:${peer.address.port}`;
            const known = this.peers.get(name);
            if (known?.view.peer.domain === peer.domain) {
                known.toldAt = now;
            } else {
                known?.view.dispose();
                this.peers.set(name, {
                    view: new ForwardingPeer(peer, this.options.clock, this.options.ended),
                    toldAt: now,
                });
            }
        }
        for (const [name, { view, toldAt }] of this.peers) {
            if (now - toldAt > FORGET_MS && view.inFlight === 0) {
                this.peers.delete(name);
                view.dispose();
            }
        }
    }

    /**
     * Chooses an instance for a request to a target of a failure domain; `undefined` if there is none but those that were tried. An
     * instance that was silent is tried again by requests that can be repeated.
     */
    choose(
        targetDomain: string,
        tried: ReadonlySet<ForwardingPeer>,
        isIdempotent: boolean,
    ): ForwardingPeer | undefined {
        const { domain, random } = this.options;
        const candidates = [...this.peers.values()]
            .filter(({ view }) => !tried.has(view) && view.hasConnection)
            .map(({ view, toldAt }) => ({
                view,
                inFlight: view.inFlight,
                crossings: crossingsOf([targetDomain, view.peer.domain, domain]),
                isNear: view.peer.domain === domain,
                // One that is no longer named may be cut off, too, or have ended.
                isSuspect: view.isSuspect || toldAt < this.lastToldAt || (view.isUnproven && !isIdempotent),
            }));
        return choosePeer(candidates, random)?.view;
    }

    /** Least number of times that an answer of a target of a failure domain passes between domains, through any instance. */
    crossings(targetDomain: string): number {
        const { domain } = this.options;
        return Math.min(
            ...[...this.peers.values()].map(({ view }) => crossingsOf([targetDomain, view.peer.domain, domain])),
        );
    }

    get size(): number {
        return this.peers.size;
    }

    dispose(): void {
        this.peers.forEach(({ view }) => view.dispose());
        this.peers.clear();
    }
}
