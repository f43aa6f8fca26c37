/** Most requests that wait for one target; more than a target serves within the longest wait. */
const MAX_WAITING = 64;

/** A request that waits for room at a target. */
export interface RoomTicket {
    /** 0 is the most urgent. */
    priority: number;
    /** Monotonic time in milliseconds at which its final answer is due. */
    deadlineAt: number;
    /** Latest monotonic time in milliseconds at which it can be sent and still be answered in time. */
    latestAt: number;
}

/** A request that waits at a gateway, and what has it placed again. */
export interface WaitingRequest extends RoomTicket {
    service: string;
    bytes: number;
    wake: () => void;
}

/**
 * The requests of this instance that wait for room at one target, by priority and then by deadline. It handles a target that many
 * instances use and that is full for less urgent requests while it still serves urgent ones.
 *
 * @example
 * queue.join(ticket); // false if it is full
 * queue.take(priority => demand.isDue(priority), now)?.wake();
 */
export class RoomQueue<Ticket extends RoomTicket> {
    /** In order of priority and deadline. */
    private readonly tickets: Ticket[] = [];

    constructor(private readonly maxWaiting = MAX_WAITING) {}

    get size(): number {
        return this.tickets.length;
    }

    get isFull(): boolean {
        return this.tickets.length >= this.maxWaiting;
    }

    /** Adds a request; `false` if too many wait. */
    join(ticket: Ticket): boolean {
        if (this.isFull) {
            return false;
        }
        const index = this.tickets.findIndex(other => goesBefore(ticket, other));
        this.tickets.splice(index < 0 ? this.tickets.length : index, 0, ticket);
        return true;
    }

    /** Removes a request; `false` if it doesn't wait. */
    leave(ticket: Ticket): boolean {
        const index = this.tickets.indexOf(ticket);
        if (index >= 0) {
            this.tickets.splice(index, 1);
        }
        return index >= 0;
    }

    /** Number of waiting requests that go before one of a priority and deadline and can still be sent in time. */
    ahead(priority: number, deadlineAt: number, now: number): number {
        const own = { priority, deadlineAt };
        return this.tickets.filter(other => goesBefore(other, own) && other.latestAt >= now).length;
    }

    /**
     * Removes and returns the request that is tried next. The least urgent priority whose share of the starts is due goes first.
     *
     * @param isDue whether a priority gets the next start
     */
    take(isDue: (priority: number) => boolean): Ticket | undefined {
        const first = this.tickets.findLast(({ priority }) => isDue(priority)) ?? this.tickets.at(0);
        const next = this.tickets.find(({ priority }) => priority === first?.priority);
        if (next !== undefined) {
            this.leave(next);
        }
        return next;
    }
}

const goesBefore = (
    one: Pick<RoomTicket, "priority" | "deadlineAt">,
    other: Pick<RoomTicket, "priority" | "deadlineAt">,
): boolean => one.priority < other.priority || (one.priority === other.priority && one.deadlineAt < other.deadlineAt);
