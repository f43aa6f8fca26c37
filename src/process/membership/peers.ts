import { ControlLink } from "../../connection/controlLink.js";
import { ForwardLink } from "../../connection/forwardLink.js";
import { noteControl, type Control, type PeerChannel } from "../../connection/peerProtocol.js";
import type { Clock } from "../runtime/clock.js";
import type { DomainLease } from "./domainLease.js";
import { observersOf } from "./observers.js";
import { rendezvousOrder } from "./rendezvous.js";
import { memberRowKey, type MemberRow, type VersionedRow } from "../store/rows.js";
import type { TableReplica } from "../store/tableReplica.js";

/** Number of control links to each other domain. Its members relay rows, so not every pair needs a link. */
export const CROSS_DOMAIN_LINKS = 2;

/** Idle time after which a control link without heartbeats is closed, in milliseconds. */
export const CONTROL_LINK_IDLE_MS = 5_000;

interface Peer {
    member: MemberRow;
    link: ControlLink | undefined;
    lastHeardAt: number | undefined;
    /** When heartbeats to the member started, or when it was first seen. */
    expectedSince: number;
    exchangesHeartbeats: boolean;
    /** When the member last sent a heartbeat while its lease depended on this instance. */
    countedAt: number | undefined;
    /** When a link without heartbeats was last requested. */
    lastUsedAt: number;
    /** Sends on the stream that the member opened to this instance. */
    inbound: ((control: Control) => void) | undefined;
    dialedAt: number;
    sequence: number;
    /** Incarnation of this instance in the last hello sent to the member. */
    helloIncarnation: string;
}

/** The member at the other end of a control stream. */
export interface ControlPeer {
    incarnation: string;
    domain: string;
}

/** Identity of this instance in the membership. */
export interface Identity {
    instance: string;
    domain: string;
    incarnation: string;
}

/**
 * The links from this instance to the other registered members, kept in sync with the member rows of the replica.
 *
 * @example
 * peers.sync();
 * peers.sendHeartbeats(bundleVersion);
 * const link = peers.forwardLink("a2.1f");
 */
export class Peers {
    private readonly peers = new Map<string, Peer>();
    private readonly forwardLinks = new Map<string, ForwardLink>();
    /** Streams that members opened to this instance, by incarnation. */
    private readonly inbound = new Map<string, (control: Control) => void>();

    constructor(
        private readonly options: {
            clock: Clock;
            /** Time for which this process has run; silence is measured with it. */
            runningMs: () => number;
            channel: PeerChannel;
            replica: TableReplica;
            lease: DomainLease;
            identity: () => Identity;
            completeRevision: () => number;
            reconnectSilenceMs: number;
            /** Members that this instance should observe and that haven't confirmed it; it sends them heartbeats. */
            unconfirmedSubjects: () => string[];
            /** Members of other domains to which an additional link is needed. */
            additionalLinks: () => string[];
            handlerFor: (peer: ControlPeer) => (control: Control, reply: (control: Control) => void) => void;
        },
    ) {}

    /** Opens links to new members and closes those of removed ones. */
    sync(): void {
        const self = this.options.identity();
        const members = this.options.replica.allMembers().map(({ value }) => value);
        const present = new Set(members.map(member => member.incarnation));
        for (const member of members) {
            if (member.incarnation !== self.incarnation && !this.peers.has(member.incarnation)) {
                this.peers.set(member.incarnation, {
                    member,
                    link: undefined,
                    lastHeardAt: undefined,
                    expectedSince: this.options.runningMs(),
                    exchangesHeartbeats: false,
                    countedAt: undefined,
                    lastUsedAt: -Infinity,
                    inbound: this.inbound.get(member.incarnation),
                    dialedAt: -Infinity,
                    sequence: 0,
                    helloIncarnation: "",
                });
            }
        }
        for (const [incarnation, peer] of this.peers) {
            if (!present.has(incarnation)) {
                peer.link?.dispose();
                this.peers.delete(incarnation);
                this.forwardLinks.get(incarnation)?.dispose();
                this.forwardLinks.delete(incarnation);
            }
        }
        for (const incarnation of this.inbound.keys()) {
            if (!present.has(incarnation)) {
                this.inbound.delete(incarnation);
            }
        }
        const linked = this.linkedIncarnations(members, self);
        this.updateHeartbeatReceivers(linked);
        this.options.additionalLinks().forEach(incarnation => linked.add(incarnation));
        const now = this.options.runningMs();
        for (const [incarnation, peer] of this.peers) {
            if (now - peer.lastUsedAt < CONTROL_LINK_IDLE_MS) {
                linked.add(incarnation);
            }
            if (!linked.has(incarnation)) {
                peer.link?.dispose();
                peer.link = undefined;
            } else if (peer.link === undefined || peer.helloIncarnation !== self.incarnation) {
                this.connect(peer);
            }
        }
    }

    /** Updates with which members heartbeats are exchanged: those in `linked`. */
    private updateHeartbeatReceivers(linked: ReadonlySet<string>): void {
        const { domain } = this.options.identity();
        for (const [incarnation, peer] of this.peers) {
            const exchanges = linked.has(incarnation);
            if (exchanges && !peer.exchangesHeartbeats && peer.member.domain === domain) {
                peer.expectedSince = this.options.runningMs();
                peer.lastHeardAt = undefined;
            }
            peer.exchangesHeartbeats = exchanges;
        }
    }

    /** Sends heartbeats to observers and linked members of other domains, and reopens links that are silent. */
    sendHeartbeats(bundleVersion: number): void {
        const now = this.options.runningMs();
        const { domain } = this.options.identity();
        for (const [incarnation, peer] of this.peers) {
            if (peer.link === undefined || (peer.member.domain === domain && !peer.exchangesHeartbeats)) {
                continue;
            }
            const silentSince = Math.max(peer.lastHeardAt ?? peer.dialedAt, peer.dialedAt);
            if (now - silentSince > this.options.reconnectSilenceMs) {
                peer.dialedAt = now;
                peer.link.reconnect();
            }
            peer.sequence++;
            if (peer.member.domain === domain) {
                this.options.lease.heartbeatSent(incarnation, peer.sequence);
            }
            const countsReceiver = this.options.lease.counts(incarnation);
            peer.link.send({ heartbeat: { sequence: peer.sequence, bundleVersion, countsReceiver } });
        }
    }

    /** Records that a member replied. */
    replyReceived(incarnation: string): void {
        const peer = this.peers.get(incarnation);
        if (peer !== undefined) {
            peer.lastHeardAt = this.options.runningMs();
        }
    }

    /** Records a heartbeat of a member. */
    heartbeatReceived(incarnation: string, countsReceiver: boolean): void {
        const peer = this.peers.get(incarnation);
        if (peer !== undefined) {
            peer.countedAt = countsReceiver ? this.options.runningMs() : undefined;
        }
    }

    /** A member opened a stream to this instance. Notes are sent on it if there is no link in the other direction. */
    streamOpened(incarnation: string, send: (control: Control) => void): void {
        this.inbound.set(incarnation, send);
        const peer = this.peers.get(incarnation);
        if (peer !== undefined) {
            peer.inbound = send;
        }
    }

    /**
     * Milliseconds since a member last replied, or since heartbeats to it started if it never did. For a member that
     * only sends heartbeats to this instance, the time since the last one. `undefined` if no heartbeats are exchanged.
     */
    silenceMs(incarnation: string): number | undefined {
        const peer = this.peers.get(incarnation);
        if (
            peer?.link !== undefined &&
            (peer.exchangesHeartbeats || peer.member.domain !== this.options.identity().domain)
        ) {
            return this.options.runningMs() - (peer.lastHeardAt ?? peer.expectedSince);
        }
        return peer?.countedAt === undefined ? undefined : this.options.runningMs() - peer.countedAt;
    }

    /** Sends rows to the members of this domain and, unless `domainOnly`, to the linked ones of other domains. */
    pushRows(rows: readonly VersionedRow[], domainOnly: boolean): void {
        if (rows.length === 0) {
            return;
        }
        this.notifyAll("rows", rows, domainOnly);
    }

    /** Sends a note to the members that are linked in either direction. */
    notifyAll(kind: string, payload: unknown, domainOnly: boolean): void {
        const { domain } = this.options.identity();
        const note = noteControl(kind, JSON.stringify(payload));
        for (const peer of this.peers.values()) {
            if (peer.link !== undefined && (!domainOnly || peer.member.domain === domain)) {
                peer.link.send(note);
            } else if (peer.link === undefined && peer.member.domain === domain) {
                peer.inbound?.(note);
            }
        }
    }

    /** The control link to a member. Those without heartbeats in this domain open on demand and close when idle. */
    controlLink(incarnation: string): ControlLink | undefined {
        const peer = this.peers.get(incarnation);
        const { domain } = this.options.identity();
        if (peer !== undefined && peer.member.domain === domain && !peer.exchangesHeartbeats) {
            peer.lastUsedAt = this.options.runningMs();
            if (peer.link === undefined) {
                this.connect(peer);
            }
        }
        return peer?.link;
    }

    /** The forward link to a registered member, opened on first use. */
    forwardLink(incarnation: string): ForwardLink | undefined {
        const peer = this.peers.get(incarnation);
        if (peer === undefined) {
            return undefined;
        }
        const held = this.forwardLinks.get(incarnation);
        if (held !== undefined) {
            return held;
        }
        const link = new ForwardLink(peer.member.peerAddress, this.options.channel, this.options.clock);
        this.forwardLinks.set(incarnation, link);
        return link;
    }

    dispose(): void {
        this.peers.forEach(peer => peer.link?.dispose());
        this.peers.clear();
        this.forwardLinks.forEach(link => link.dispose());
        this.forwardLinks.clear();
    }

    /** Opens or reopens the link to a peer. The hello on it carries the current incarnation of this instance. */
    private connect(peer: Peer): void {
        peer.dialedAt = this.options.runningMs();
        peer.helloIncarnation = this.options.identity().incarnation;
        if (peer.link === undefined) {
            peer.link = this.dial(peer);
        } else {
            // A peer identifies the other end of a stream by its hello, which carried an earlier incarnation.
            peer.link.reconnect();
        }
    }

    private dial(peer: Peer): ControlLink {
        const { clock, channel, replica, identity, completeRevision, handlerFor } = this.options;
        const { incarnation, domain, peerAddress } = peer.member;
        const handle = handlerFor({ incarnation, domain });
        const link: ControlLink = new ControlLink({
            address: peerAddress,
            channel,
            clock,
            events: {
                opened: () => {
                    const self = identity();
                    const hello = { ...self, completeRevision: completeRevision(), receiver: incarnation };
                    const own = replica.row(memberRowKey(self.domain, self.instance));
                    const payload = JSON.stringify(own === undefined ? [] : [own]);
                    return [{ hello }, noteControl("rows", payload)];
                },
                received: control => handle(control, reply => link.send(reply)),
            },
        });
        return link;
    }

    private linkedIncarnations(members: readonly MemberRow[], self: Identity): Set<string> {
        const own = members.filter(member => member.domain === self.domain).map(member => member.incarnation);
        const { lease, unconfirmedSubjects } = this.options;
        const linked = new Set([...observersOf(self.incarnation, own), ...lease.receivers(), ...unconfirmedSubjects()]);
        const others = new Map<string, string[]>();
        for (const member of members) {
            if (member.domain !== self.domain) {
                others.set(member.domain, [...(others.get(member.domain) ?? []), member.incarnation]);
            }
        }
        for (const incarnations of others.values()) {
            rendezvousOrder(self.instance, incarnations)
                .slice(0, CROSS_DOMAIN_LINKS)
                .forEach(incarnation => linked.add(incarnation));
        }
        return linked;
    }
}
