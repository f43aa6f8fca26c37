/**
 * Unbounded first-in, first-out queue that runs at most `slots` tasks concurrently.
 *
 * @example
 * queue.add(release => void send().finally(release));
 */
export class BaselineQueue {
    private readonly waiting: ((release: () => void) => void)[] = [];
    private head = 0;
    private running = 0;

    constructor(private readonly slots: number) {}

    /** Number of waiting tasks. */
    get length(): number {
        return this.waiting.length - this.head;
    }

    add(work: (release: () => void) => void): void {
        this.waiting.push(work);
        this.startNext();
    }

    private startNext(): void {
        while (this.running < this.slots && this.head < this.waiting.length) {
            const work = this.waiting[this.head++];
            if (this.head > 1_000 && this.head * 2 > this.waiting.length) {
                this.waiting.splice(0, this.head);
                this.head = 0;
            }
            this.running++;
            let released = false;
            work(() => {
                if (!released) {
                    released = true;
                    this.running--;
                    this.startNext();
                }
            });
        }
    }
}
