/** Maximum number of handovers kept per target. Without the dropped ones, slices count as taken over without a record. */
export const MAX_PREPARED_PER_TARGET = 8;

/** Names one handover: the target whose row carries it out, and the term and attempt that the row states. */
export interface HandOverName {
    targetKey: string;
    term: number;
    /** `undefined` for handovers and rows of versions that don't state an attempt. */
    attempt: string | undefined;
}

interface PreparedHandOver<Content> {
    name: HandOverName;
    content: Content;
}

/**
 * Handovers that this instance has received, until the row that carries one of them out shows which one it is. Several
 * may be pending: a handover whose row isn't written is repeated, and other instances may prepare one for the same
 * target.
 *
 * @example
 * prepared.add({ targetKey, term: 5, attempt }, load);
 * prepared.take({ targetKey, term: row.term, attempt: row.handOver });
 */
export class PreparedHandOvers<Content> {
    private readonly byTarget = new Map<string, PreparedHandOver<Content>[]>();

    /** `dropped` is called with the content of handovers that can no longer be taken. */
    constructor(private readonly dropped: (content: Content) => void = () => undefined) {}

    add(name: HandOverName, content: Content): void {
        const others = (this.byTarget.get(name.targetKey) ?? []).filter(({ name: other }) => !isSame(other, name));
        const kept = [...others, { name, content }];
        kept.splice(0, kept.length - MAX_PREPARED_PER_TARGET).forEach(old => this.dropped(old.content));
        this.byTarget.set(name.targetKey, kept);
    }

    /** The latest handover of a term before the given one, which a row that this instance missed may have carried out. */
    latestBefore(targetKey: string, term: number): Content | undefined {
        const prepared = this.byTarget.get(targetKey) ?? [];
        return prepared.findLast(({ name }) => name.term < term)?.content;
    }

    /**
     * Removes and returns the handover that a row carries out. The target's other handovers up to its term are dropped,
     * since terms only grow.
     */
    take(carriedOut: HandOverName): Content | undefined {
        const prepared = this.byTarget.get(carriedOut.targetKey) ?? [];
        const taken = prepared.find(({ name }) => isSame(name, carriedOut));
        const kept = prepared.filter(({ name }) => name.term > carriedOut.term);
        prepared
            .filter(handOver => handOver !== taken && !kept.includes(handOver))
            .forEach(({ content }) => this.dropped(content));
        if (kept.length > 0) {
            this.byTarget.set(carriedOut.targetKey, kept);
        } else {
            this.byTarget.delete(carriedOut.targetKey);
        }
        return taken?.content;
    }
}

const isSame = (a: HandOverName, b: HandOverName): boolean => a.term === b.term && a.attempt === b.attempt;
