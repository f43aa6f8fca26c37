/** Item that stores its index in the heap that contains it; -1 while it is in no heap. */
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

    /** Returns the first item in heap order, or `undefined` if the heap is empty. */
    peek(): Item | undefined {
        return this.items[0];
    }

    push(item: Item): void {
        item.heapIndex = this.items.length;
        this.items.push(item);
        this.siftUp(item.heapIndex);
    }

    /** Removes an item; does nothing if the heap doesn't contain it. */
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
        this.siftUp(index);
        this.siftDown(last.heapIndex);
    }

    private place(item: Item, index: number): void {
        this.items[index] = item;
        item.heapIndex = index;
    }

    private siftUp(from: number): void {
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

    private siftDown(from: number): void {
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
