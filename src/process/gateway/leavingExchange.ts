import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { decodeLeavingMessage, encodeLeavingMessage } from "./leavingMessage.js";
import type { NamedProcess } from "./namedProcess.js";
import type { DatagramHandler, PeerAddress } from "./peerPort.js";
import type { DirectoryTarget } from "./targetDirectory.js";

/** Minimum time between reports, in milliseconds. Targets that leave together are reported together. */
export const REPORT_PAUSE_MS = 100;
/** First and longest pause before a report without an acknowledgement is repeated, in milliseconds. */
export const FIRST_REPEAT_MS = 200;
export const LAST_REPEAT_MS = 1_600;
/**
 * Time for which a statement is reported, in milliseconds. It is longer than an assigner renews grants without an answer: by
 * then the assigner has read the statement in the answer to a renewal, or it can't reach the target, so that a report couldn't
 * have the keys released.
 */
export const STATEMENT_LIFETIME_MS = 9_000;

/** A statement that the assigner has to know. Times are monotonic, in milliseconds. */
interface PendingStatement {
    target: NamedProcess;
    endsAt: number;
    /** Address of the last report as `HOST:PORT`; `undefined` if there was none. */
    reportedTo: string | undefined;
    isAcknowledged: boolean;
    repeatAt: number;
    repeatMs: number;
}

/**
 * Reports targets that have stated that they leave to the instance that assigns keys, and takes the reports of the others
 * while this instance assigns keys. A report is repeated until the assigner has acknowledged it, and made again when another
 * instance has become the assigner.
 *
 * @example
 * const exchange = new LeavingExchange({ clock, isAssigning, assigner, registered, heard, send, unanswered });
 * exchange.stated({ id: "stock-7", startedAtMs });
 */
export class LeavingExchange {
    private readonly pending = new Map<string, PendingStatement>();
    private cancelTimer: TimerCancellation | undefined;

    constructor(
        private readonly options: {
            clock: Clock;
            isAssigning: () => boolean;
            /** Address of the instance that assigns keys; `undefined` while it is unknown or is this one. */
            assigner: () => PeerAddress | undefined;
            /** The registered target with this identifier, if there is one. */
            registered: (id: string) => DirectoryTarget | undefined;
            /** Called when another instance reports that a registered target leaves. */
            heard: (target: DirectoryTarget) => void;
            send: (address: PeerAddress, content: Buffer) => void;
            /** Called when a repeated report hasn't been acknowledged; the assigner may have changed. */
            unanswered: () => void;
        },
    ) {}

    /** Reports a target that has stated that it leaves. */
    stated({ id, startedAtMs }: NamedProcess): void {
        this.pending.set(id, {
            target: { id, startedAtMs },
            endsAt: this.options.clock.monotonicMs() + STATEMENT_LIFETIME_MS,
            reportedTo: undefined,
            isAcknowledged: false,
            repeatAt: -Infinity,
            repeatMs: FIRST_REPEAT_MS,
        });
        this.cancelTimer ??= this.options.clock.setTimer(0, () => this.step());
    }

    /** Handles a datagram of another instance; returns `false` if it isn't about leaving targets. */
    receive: DatagramHandler = (content, sender) => {
        const message = decodeLeavingMessage(content);
        if (message === undefined) {
            return false;
        }
        const { assigner, targets } = message;
        if (message.type === "leaving-heard") {
            targets.forEach(target => this.acknowledged(target, assigner));
            return true;
        }
        if (!this.options.isAssigning()) {
            return true;
        }
        const heard = targets.filter(target => this.hear(target));
        encodeLeavingMessage({ type: "leaving-heard", assigner, targets: heard }).forEach(datagram =>
            this.options.send(sender, datagram),
        );
        return true;
    };

    dispose(): void {
        this.cancelTimer?.();
        this.pending.clear();
    }

    /** Applies a report; `false` if the target's entry hasn't been read yet, so that the report is repeated. */
    private hear({ id, startedAtMs }: NamedProcess): boolean {
        const listed = this.options.registered(id);
        if (listed === undefined || listed.entry.startedAtMs < startedAtMs) {
            return false;
        }
        if (listed.entry.startedAtMs === startedAtMs) {
            this.options.heard(listed);
        }
        return true;
    }

    private acknowledged({ id, startedAtMs }: NamedProcess, assigner: string): void {
        const statement = this.pending.get(id);
        if (statement?.target.startedAtMs === startedAtMs && statement.reportedTo === assigner) {
            statement.isAcknowledged = true;
        }
    }

    /** Makes the reports that are due, and continues as long as there are statements that matter. */
    private step(): void {
        this.cancelTimer = undefined;
        const now = this.options.clock.monotonicMs();
        for (const [id, statement] of this.pending) {
            if (now >= statement.endsAt || !this.matters(statement.target)) {
                this.pending.delete(id);
            }
        }
        const address = this.options.isAssigning() ? undefined : this.options.assigner();
        if (address !== undefined) {
            this.report(address, now);
        }
        if (this.pending.size > 0) {
            this.cancelTimer = this.options.clock.setTimer(REPORT_PAUSE_MS, () => this.step());
        }
    }

    /** Whether the assigner can't know yet from the target's entry that the target doesn't get keys. */
    private matters({ id, startedAtMs }: NamedProcess): boolean {
        const entry = this.options.registered(id)?.entry;
        return entry?.startedAtMs === startedAtMs && !entry.draining;
    }

    private report(address: PeerAddress, now: number): void {
        const assigner = `${address.host}:${address.port}`;
        const statements = [...this.pending.values()];
        const repeated = statements.filter(
            ({ reportedTo, isAcknowledged, repeatAt }) => reportedTo === assigner && !isAcknowledged && now >= repeatAt,
        );
        const first = statements.filter(({ reportedTo }) => reportedTo !== assigner);
        for (const statement of repeated) {
            statement.repeatMs = Math.min(LAST_REPEAT_MS, 2 * statement.repeatMs);
            statement.repeatAt = now + statement.repeatMs;
        }
        for (const statement of first) {
            statement.reportedTo = assigner;
            statement.isAcknowledged = false;
            statement.repeatMs = FIRST_REPEAT_MS;
            statement.repeatAt = now + FIRST_REPEAT_MS;
        }
        // A single lost datagram doesn't show that the assigner has changed, and finding out costs a read of the store.
        if (repeated.some(({ repeatMs }) => repeatMs > 2 * FIRST_REPEAT_MS)) {
            this.options.unanswered();
        }
        const targets = [...first, ...repeated].map(({ target }) => target);
        encodeLeavingMessage({ type: "leaving-stated", assigner, targets }).forEach(datagram =>
            this.options.send(address, datagram),
        );
    }
}
