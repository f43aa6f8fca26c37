import { IndexedHeap, type HeapItem } from "../runtime/indexedHeap.js";

/** An item in the linked list of a flow. */
export interface FlowItem<Item> {
    flow: Flow<Item> | undefined;
    previous: Item | undefined;
    next: Item | undefined;
}

/** Waiting items of one caller in order of arrival, as a doubly linked list. */
export interface Flow<Item> extends HeapItem {
    readonly caller: string;
    first: Item | undefined;
    last: Item | undefined;
    length: number;
    /** Virtual time up to which the caller's share is used by its started items. */
    finishTag: number;
    /** Virtual time at which its next item starts. */
    startTag: number;
    /** Breaks ties between equal start tags: the flow that became active first is served first. */
    sequence: number;
}

/**
 * Number of items that a caller which used less than its share may start ahead of its turn. Without this burst, the
 * second of two simultaneous requests of a light caller waits for a whole round of all callers.
 */
const BURST_ITEMS = 3;

/** Name of the shared flow of all callers beyond the maximum number of callers. */
const OVERFLOW_CALLER = "\0overflow";

/**
 * Start-time fair queueing between callers: the waiting caller with the smallest start tag is served next, and a
 * started item advances its caller's tag by the item's cost. A caller that uses less than its fair share therefore
 * hardly waits, whatever the load of the others. Operations take O(log n).
 *
 * @example
 * const share = new FairShare<Waiting>({ maxCallers: 1024, maxLength: 1024 });
 * share.append("caller-1", item);
 * const flow = share.nextFlow();
 */
export class FairShare<Item extends FlowItem<Item>> {
    private readonly flows = new Map<string, Flow<Item>>();
    private readonly active = new IndexedHeap<Flow<Item>>((a, b) =>
        a.startTag === b.startTag ? a.sequence < b.sequence : a.startTag < b.startTag,
    );
    /** Flows without waiting items whose finish tag is later than the virtual time, longest idle first. */
    private readonly idle = new Set<Flow<Item>>();
    /** Active flows by length, for finding the longest one. */
    private readonly byLength: (Set<Flow<Item>> | undefined)[] = [];
    private longest = 0;
    /** Fenwick tree, indexed by length k, of the number of flows with at least k items. */
    private readonly flowsByMinLength: Int32Array;
    private virtualTime = 0;
    private sequence = 0;
    private count = 0;

    constructor(private readonly bounds: { maxCallers: number; maxLength: number }) {
        this.flowsByMinLength = new Int32Array(bounds.maxLength + 2);
    }

    /** Number of waiting items. */
    get size(): number {
        return this.count;
    }

    /** Number of tracked callers. */
    get callers(): number {
        return this.flows.size;
    }

    /**
     * Number of items that start no later than the item at place `place` (from 1) of a caller, including that item, if
     * all items have the same cost.
     */
    countAhead(place: number): number {
        let sum = 0;
        for (let index = Math.min(place, this.bounds.maxLength); index > 0; index -= index & -index) {
            sum += this.flowsByMinLength[index];
        }
        return sum;
    }

    /** Number of waiting items of a caller. */
    lengthOf(caller: string): number {
        return this.flows.get(caller)?.length ?? 0;
    }

    /** Adds an item of a caller; `cost` is in units of virtual time. */
    append(caller: string, item: Item, cost: number): void {
        const flow = this.flowOf(caller);
        item.flow = flow;
        item.previous = flow.last;
        item.next = undefined;
        if (flow.last === undefined) {
            flow.first = item;
        } else {
            flow.last.next = item;
        }
        flow.last = item;
        this.changeLength(flow, 1);
        if (flow.length === 1) {
            this.idle.delete(flow);
            flow.finishTag = Math.max(this.virtualTime, flow.finishTag);
            flow.startTag = this.startTagOf(flow, cost);
            flow.sequence = this.sequence++;
            this.active.push(flow);
        }
    }

    /** Removes an item from its flow without charging the caller. */
    remove(item: Item): void {
        const flow = item.flow;
        if (flow === undefined) {
            return;
        }
        if (item.previous === undefined) {
            flow.first = item.next;
        } else {
            item.previous.next = item.next;
        }
        if (item.next === undefined) {
            flow.last = item.previous;
        } else {
            item.next.previous = item.previous;
        }
        item.flow = undefined;
        item.previous = undefined;
        item.next = undefined;
        this.changeLength(flow, -1);
        if (flow.length === 0) {
            this.active.remove(flow);
            this.markIdle(flow);
        }
    }

    /** Removes an item that is started, and charges its cost to the caller. */
    start(item: Item, cost: number): void {
        const flow = item.flow;
        if (flow === undefined) {
            return;
        }
        this.virtualTime = Math.max(this.virtualTime, flow.startTag);
        flow.finishTag += cost;
        this.remove(item);
        if (flow.length > 0) {
            this.active.remove(flow);
            flow.startTag = this.startTagOf(flow, cost);
            flow.sequence = this.sequence++;
            this.active.push(flow);
        }
    }

    /** The next flow to be served, or `undefined` when nothing waits. */
    nextFlow(): Flow<Item> | undefined {
        return this.active.peek();
    }

    /** The flow with the most waiting items, or `undefined` when nothing waits. */
    longestFlow(): Flow<Item> | undefined {
        const [flow] = this.byLength[this.longest] ?? [];
        return flow;
    }

    /** Callers within their burst get the same tag, so that they are served in order of arrival. */
    private startTagOf(flow: Flow<Item>, cost: number): number {
        return Math.max(this.virtualTime, flow.finishTag - BURST_ITEMS * cost);
    }

    private flowOf(caller: string): Flow<Item> {
        const known = this.flows.get(caller);
        if (known !== undefined) {
            return known;
        }
        if (this.flows.size >= this.bounds.maxCallers) {
            const [oldest] = this.idle;
            if (oldest === undefined) {
                return this.flows.get(OVERFLOW_CALLER) ?? this.create(OVERFLOW_CALLER);
            }
            this.removeFlow(oldest);
        }
        return this.create(caller);
    }

    private create(caller: string): Flow<Item> {
        const flow: Flow<Item> = {
            caller,
            first: undefined,
            last: undefined,
            length: 0,
            finishTag: this.virtualTime,
            startTag: 0,
            sequence: 0,
            heapIndex: -1,
        };
        this.flows.set(caller, flow);
        return flow;
    }

    private removeFlow(flow: Flow<Item>): void {
        this.idle.delete(flow);
        this.flows.delete(flow.caller);
    }

    /** Keeps an empty flow only while its finish tag shows that it has used more than its share. */
    private markIdle(flow: Flow<Item>): void {
        if (this.count === 0) {
            // Nothing waits, so the busy period has ended and all tags are reset.
            this.flows.clear();
            this.idle.clear();
            this.virtualTime = 0;
            return;
        }
        this.idle.add(flow);
        const [oldest] = this.idle;
        // Checking one idle flow per removal is enough, as a removal adds at most one, and keeps the cost constant.
        for (const candidate of [oldest, flow]) {
            if (candidate.finishTag <= this.virtualTime) {
                this.removeFlow(candidate);
            }
        }
    }

    private changeLength(flow: Flow<Item>, change: 1 | -1): void {
        const before = flow.length;
        const after = before + change;
        flow.length = after;
        this.count += change;
        this.byLength[before]?.delete(flow);
        if (after > 0) {
            (this.byLength[after] ??= new Set()).add(flow);
        }
        if (after > this.longest) {
            this.longest = after;
        }
        while (this.longest > 0 && (this.byLength[this.longest]?.size ?? 0) === 0) {
            this.longest--;
        }
        for (let index = Math.max(before, after); index < this.flowsByMinLength.length; index += index & -index) {
            this.flowsByMinLength[index] += change;
        }
    }
}
