/**
 * Collects the items added during one turn of the event loop and flushes them together, so that a burst costs one
 * message instead of one per item.
 *
 * @example
 * const batcher = new Batcher<Frame>(frames => stream.write({ frames }));
 * batcher.add(frame);
 */
export class Batcher<Item> {
    private items: Item[] = [];

    constructor(private readonly flush: (items: Item[]) => void) {}

    add(item: Item): void {
        this.items.push(item);
        if (this.items.length === 1) {
            setImmediate(() => this.flushNow());
        }
    }

    /** Flushes the collected items without waiting for the end of the turn. */
    flushNow(): void {
        if (this.items.length === 0) {
            return;
        }
        const items = this.items;
        this.items = [];
        this.flush(items);
    }
}
