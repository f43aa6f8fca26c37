import { IndexedHeap, type HeapItem } from "../runtime/indexedHeap.js";

/** An item in the list of a flow. */
export interface FlowItem<Item> {
    flow: Flow<Item> | undefined;
    previous: Item | undefined;
    next: Item | undefined;
}

/** The waiting items of one caller in order of arrival, as a linked list with removal from the middle. */
export interface Flow<Item> extends HeapItem {
    readonly caller: string;
    first: Item | undefined;
    last: Item | undefined;
    length: number;
    /** Virtual time up to which the caller's started items have used its share. */
    finishTag: number;
    /** Virtual time at which its next item starts. */
    startTag: number;
    /** Decides between equal start tags: the flow that became active first goes first. */
    sequence: number;
}

/**
 * Items that a caller who asked for less than its share may start ahead of its turn. Without it, the second of two
 * requests sent together by a light caller waits a whole round of all callers.
 */
const BURST_ITEMS = 3;

/** Caller under whose name the flows beyond the bound on callers are kept together. */
const OVERFLOW_CALLER = "\0overflow";

/**
 * Start-time fair queueing between callers: the waiting caller with the smallest start tag goes next, and a started
 * item moves its caller's tag on by the item's cost. A caller that asks for less than its fair share therefore hardly
 * waits, whatever the others ask for. Operations cost O(log n).
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
    /** Flows without waiting items whose tag is still ahead of the virtual time, the longest idle first. */
    private readonly idle = new Set<Flow<Item>>();
    /** Active flows by length, to find the longest one. */
    private readonly byLength: (Set<Flow<Item>> | undefined)[] = [];
    private longest = 0;
    /** Fenwick tree over lengths k of the number of flows with at least k items. */
    private readonly atLeast: Int32Array;
    private virtualTime = 0;
    private sequence = 0;
    private count = 0;

    constructor(private readonly bounds: { maxCallers: number; maxLength: number }) {
        this.atLeast = new Int32Array(bounds.maxLength + 2);
    }

    /** Number of waiting items. */
    get size(): number {
        return this.count;
    }

    /** Number of callers remembered. */
    get callers(): number {
        return this.flows.size;
    }

    /**
     * Number of items that start before the item at place `place` (from 1) of a caller, that item included, if every
     * item costs the same.
     */
    ahead(place: number): number {
        let sum = 0;
        for (let index = Math.min(place, this.bounds.maxLength); index > 0; index -= index & -index) {
            sum += this.atLeast[index];
        }
        return sum;
    }

    /** Number of waiting items of a caller. */
    lengthOf(caller: string): number {
        return this.flows.get(caller)?.length ?? 0;
    }

    /** Adds an item of a caller; `cost` is in the unit of virtual time. */
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
        this.resize(flow, 1);
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
        this.resize(flow, -1);
        if (flow.length === 0) {
            this.active.remove(flow);
            this.rest(flow);
        }
    }

    /** Removes an item that starts and charges its cost to the caller. */
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

    /** The flow whose turn it is, or `undefined` when nothing waits. */
    nextFlow(): Flow<Item> | undefined {
        return this.active.peek();
    }

    /** The flow with the most waiting items, or `undefined` when nothing waits. */
    longestFlow(): Flow<Item> | undefined {
        const [flow] = this.byLength[this.longest] ?? [];
        return flow;
    }

    /** Callers within their burst get the same tag, so that they go in order of arrival. */
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
            this.forget(oldest);
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

    private forget(flow: Flow<Item>): void {
        this.idle.delete(flow);
        this.flows.delete(flow.caller);
    }

    /** Keeps an emptied flow only while its tag means that it has had more than its share. */
    private rest(flow: Flow<Item>): void {
        if (this.count === 0) {
            // Nobody waits, so nobody is owed anything: the busy period is over and all tags start anew.
            this.flows.clear();
            this.idle.clear();
            this.virtualTime = 0;
            return;
        }
        this.idle.add(flow);
        const [oldest] = this.idle;
        // One look per removal keeps the cost constant and still catches up, as one flow at most is added per removal.
        for (const candidate of [oldest, flow]) {
            if (candidate.finishTag <= this.virtualTime) {
                this.forget(candidate);
            }
        }
    }

    private resize(flow: Flow<Item>, change: 1 | -1): void {
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
        for (let index = Math.max(before, after); index < this.atLeast.length; index += index & -index) {
            this.atLeast[index] += change;
        }
    }
}
