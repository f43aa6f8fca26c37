import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import type { LeaseSuccessor } from "./assignerLease.js";
import { chooseSuccessor, isOutOfTouch } from "./decideHandover.js";
import type { NamedProcess } from "./namedProcess.js";
import type { DatagramHandler, PeerAddress } from "./peerPort.js";
import { decodeReachMessage, encodeReachMessage, MAX_ASKED_TARGETS, type ReachMessage } from "./reachMessage.js";
import { shuffled } from "./selectPeers.js";

/** Interval at which the holder of the lease looks at the owners that it reaches, in milliseconds. */
const LOOK_MS = 250;
/** Minimum time between two questions to the other instances, in milliseconds. */
const ASK_PAUSE_MS = 1_000;
/** Time for the answers, in milliseconds; the others may check paths first. */
const ANSWER_MS = 350;
/** Number of instances that are asked. */
const ASKED_INSTANCES = 6;
/** Number of times that the successor is told of the lease, since datagrams may be lost, and the pause between, in milliseconds. */
const TELL_TIMES = 3;
const TELL_PAUSE_MS = 100;

/** What another instance has told. */
interface Told extends LeaseSuccessor {
    address: PeerAddress;
    /** Number of the targets in question that it reaches. */
    reached: number;
}

/**
 * Passes the lease for assigning keys on to an instance that reaches the owners of keys, if this one doesn't. The lease itself only
 * proves a path to the store; an instance without paths to the owners would keep it until their grants have ended.
 *
 * @example
 * const handover = new LeaseHandover(options);
 * handover.start();
 */
export class LeaseHandover {
    private readonly disposables = new DisposableStore();
    private askedAt = -Infinity;
    private questions = 0;
    private answers: { question: number; told: Told[] } | undefined;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            instance: string;
            isHeld: () => boolean;
            /** Owners of keys, and whether this instance reaches them. */
            owners: () => (NamedProcess & { isReached: boolean })[];
            /** Whether this instance reaches a target of which another one asks. */
            reaches: (target: NamedProcess) => Promise<boolean>;
            /** The other instances. */
            peers: () => PeerAddress[];
            /** Passes the lease on. Resolves when that was tried. */
            passOn: (successor: LeaseSuccessor) => Promise<void>;
            /** Called when the lease was passed on to this instance. */
            wasPassedOn: () => void;
            /** Called when the lease was passed on to another instance. */
            hasMoved: () => void;
            send: (address: PeerAddress, content: Buffer) => void;
            random: () => number;
        },
    ) {}

    start(): void {
        this.disposables.add(repeat(this.options.clock, LOOK_MS, () => this.look()));
    }

    dispose(): void {
        void this.disposables.dispose();
    }

    /** Handles a datagram of another instance; returns `false` if it isn't about the targets that instances reach. */
    receive: DatagramHandler = (content, sender) => {
        const message = decodeReachMessage(content);
        switch (message?.type) {
            case undefined:
                return false;
            case "reach-ask":
                void this.answer(message, sender);
                break;
            case "reach-told":
                this.told(message, sender);
                break;
            case "lease-passed":
                this.options.wasPassedOn();
                break;
            case "lease-moved":
                this.options.hasMoved();
                break;
        }
        return true;
    };

    private async answer(
        { question, targets }: Extract<ReachMessage, { type: "reach-ask" }>,
        sender: PeerAddress,
    ): Promise<void> {
        const { instance, reaches, send } = this.options;
        const checked = await Promise.all(targets.map(async target => ({ target, isReached: await reaches(target) })));
        const reached = checked.filter(({ isReached }) => isReached).map(({ target }) => target);
        send(sender, encodeReachMessage({ type: "reach-told", question, instance, reached }));
    }

    private told({ question, instance, reached }: Extract<ReachMessage, { type: "reach-told" }>, address: PeerAddress) {
        if (this.answers?.question === question) {
            const peerAddress = `${address.host}:${address.port}`;
            this.answers.told.push({ instance, peerAddress, address, reached: reached.length });
        }
    }

    private look(): void {
        const { clock, isHeld, owners } = this.options;
        if (!isHeld() || this.answers !== undefined || clock.monotonicMs() - this.askedAt < ASK_PAUSE_MS) {
            return;
        }
        const known = owners();
        const unreached = known.filter(({ isReached }) => !isReached).length;
        if (isOutOfTouch({ owners: known.length, unreached })) {
            this.ask(known);
        }
    }

    private ask(owners: readonly NamedProcess[]): void {
        const { clock, peers, send, random } = this.options;
        this.askedAt = clock.monotonicMs();
        const question = ++this.questions;
        const targets = shuffled(owners, random)
            .slice(0, MAX_ASKED_TARGETS)
            .map(({ id, startedAtMs }) => ({ id, startedAtMs }));
        this.answers = { question, told: [] };
        const content = encodeReachMessage({ type: "reach-ask", question, targets });
        shuffled(peers(), random)
            .slice(0, ASKED_INSTANCES)
            .forEach(address => send(address, content));
        clock.setTimer(ANSWER_MS, () => void this.decide(targets));
    }

    private async decide(asked: readonly NamedProcess[]): Promise<void> {
        const { logger, isHeld, owners, passOn } = this.options;
        const told = this.answers?.told ?? [];
        const ids = new Set(asked.map(({ id }) => id));
        const ownReached = owners().filter(({ id, isReached }) => ids.has(id) && isReached).length;
        const successor = chooseSuccessor({ asked: asked.length, ownReached, told });
        if (successor !== undefined && isHeld()) {
            logger.warn("Owners of keys can't be reached from this instance; the lease is passed on.", {
                asked: asked.length,
                ownReached,
                successor: successor.instance,
                reached: successor.reached,
            });
            await passOn(successor);
            this.tell(successor.address);
        }
        this.answers = undefined;
    }

    /** Tells the other instances that the lease was passed on. */
    private tell(successor: PeerAddress): void {
        const { clock, peers, send } = this.options;
        const passed = encodeReachMessage({ type: "lease-passed" });
        for (let times = 0; times < TELL_TIMES; times++) {
            clock.setTimer(times * TELL_PAUSE_MS, () => send(successor, passed));
        }
        const moved = encodeReachMessage({ type: "lease-moved" });
        clock.setTimer(TELL_TIMES * TELL_PAUSE_MS, () =>
            peers()
                .filter(({ host, port }) => host !== successor.host || port !== successor.port)
                .forEach(address => send(address, moved)),
        );
    }
}
