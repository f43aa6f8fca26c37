/** An item that records its place in the heap that holds it; -1 while it is in none. */
export interface HeapItem {
    heapIndex: number;
}

/**
 * Binary heap whose items can be removed from the middle. All operations but `peek` cost O(log n).
 *
 * @example
 * const heap = new IndexedHeap<Timer>((a, b) => a.at < b.at);
 * heap.push(timer);
 * heap.remove(timer);
 */
export class IndexedHeap<Item extends HeapItem> {
    private readonly items: Item[] = [];

    constructor(private readonly precedes: (a: Item, b: Item) => boolean) {}

    get size(): number {
        return this.items.length;
    }

    /** The first item by the order of the heap, or `undefined` when the heap is empty. */
    peek(): Item | undefined {
        return this.items[0];
    }

    push(item: Item): void {
        item.heapIndex = this.items.length;
        this.items.push(item);
        this.rise(item.heapIndex);
    }

    /** Removes an item; does nothing when the heap doesn't hold it. */
    remove(item: Item): void {
        const index = item.heapIndex;
        if (this.items[index] !== item) {
            return;
        }
        item.heapIndex = -1;
        const last = this.items.pop();
        if (last === undefined || last === item) {
            return;
        }
        this.place(last, index);
        this.rise(index);
        this.sink(last.heapIndex);
    }

    private place(item: Item, index: number): void {
        this.items[index] = item;
        item.heapIndex = index;
    }

    private rise(from: number): void {
        let index = from;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.precedes(this.items[index], this.items[parent])) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private sink(from: number): void {
        let index = from;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let first = index;
            if (left < this.items.length && this.precedes(this.items[left], this.items[first])) {
                first = left;
            }
            if (right < this.items.length && this.precedes(this.items[right], this.items[first])) {
                first = right;
            }
            if (first === index) {
                return;
            }
            this.swap(index, first);
            index = first;
        }
    }

    private swap(a: number, b: number): void {
        const item = this.items[a];
        this.place(this.items[b], a);
        this.place(item, b);
    }
}
