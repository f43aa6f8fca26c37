/**
 * Holds what is to be written for a request until all earlier requests of its connection are answered. The HTTP server of
 * Node.js buffers it, too, but stops reading from a connection with large buffers, and then doesn't see its end.
 *
 * @example
 * const turn = new AnswerTurn(isFirst);
 * turn.run(() => response.end(body));
 * turn.take();
 */
export class AnswerTurn {
    private readonly held: (() => void)[] = [];

    /** @param hasCome whether no earlier request is pending */
    constructor(private hasCome: boolean) {}

    /** Whether writes are held. */
    get isHeld(): boolean {
        return !this.hasCome;
    }

    /** Runs a write now or, in order, when the turn comes. */
    run(write: () => void): void {
        if (this.hasCome) {
            write();
        } else {
            this.held.push(write);
        }
    }

    /** Runs the held writes. */
    take(): void {
        this.hasCome = true;
        this.held.splice(0).forEach(write => write());
    }
}
