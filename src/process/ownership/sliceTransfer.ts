import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../runtime/clock.js";
import { transactUntilDecided } from "../store/transactUntilDecided.js";
import type { Logger } from "../observability/logger.js";
import type { Membership, Transact } from "../membership/membership.js";
import type { Peers } from "../membership/peers.js";
import { targetRowSchema, type Slice, type TargetRow } from "../store/rows.js";
import type { ServiceRecords } from "../records/serviceRecords.js";
import { normalizeSlices, slicesSize, subtractSlices } from "./sliceMap.js";
import type { TableReplica, Versioned } from "../store/tableReplica.js";
import type { TargetDispatcher } from "../dispatch/targetDispatcher.js";

/** Maximum time for which a move waits for requests in flight on its slices, in milliseconds. */
export const DEFAULT_DRAIN_LIMIT_MS = 5_000;
/** Timeout for the receiving dispatcher to acknowledge the records of a move, in milliseconds. */
export const DEFAULT_HAND_OVER_TIMEOUT_MS = 500;

/**
 * Why slices were not transferred. After a `conflict` the current rows have been applied to the replica; after any
 * other error the source keeps the slices.
 */
export type TransferError =
    | { type: "not-dispatcher" }
    | { type: "not-drained"; busy: number[] }
    | { type: "release-unacknowledged" }
    | { type: "records-unacknowledged"; dispatcher: string }
    | { type: "conflict" }
    | { type: "receiver-gone"; key: string }
    | { type: "not-a-member" }
    | { type: "platform-unavailable" };

/** A transfer that was committed. */
export interface Transfer {
    source: string;
    given: { receiver: string; slices: Slice[] }[];
    term: number;
    /** Time for which requests for the slices were held, in milliseconds. */
    heldMs: number;
}

/**
 * Transfers slices from a target of this instance to other targets of the service.
 *
 * @example
 * const moved = await transfer.move(dispatcher, new Map([["target/stock/t2", [[0, 4096]]]]));
 */
export class SliceTransfer {
    constructor(
        private readonly options: {
            clock: Clock;
            log: Logger;
            replica: TableReplica;
            membership: Membership;
            peers: () => Peers;
            transact: Transact;
            records: ServiceRecords;
            drainLimitMs: number;
        },
    ) {}

    /**
     * Moves slices from a target that answers: holds new requests, waits for those in flight, releases the slices,
     * hands over the records and commits. Nothing is changed if it fails. Requests for the slices stay held until the
     * result of the transaction is known.
     */
    async move(
        dispatcher: TargetDispatcher,
        given: ReadonlyMap<string, readonly Slice[]>,
        drainLimitMs = this.options.drainLimitMs,
    ): Promise<Result<Transfer, TransferError>> {
        const slices = [...given.values()].flat();
        const heldAt = this.options.clock.monotonicMs();
        dispatcher.hold(slices);
        const result = await this.moveHeld(dispatcher, given, slices, drainLimitMs);
        dispatcher.undoRelease();
        if (result.isErr()) {
            void dispatcher.keeper.announce();
        }
        dispatcher.unhold(slices);
        return result.map(transfer => ({ ...transfer, heldMs: this.options.clock.monotonicMs() - heldAt }));
    }

    /**
     * Transfers slices of a lost target. To be called only when none of its grants and deadlines can still be in force.
     * Requests for the slices are held during the transfer: if the target answers again, it must not be sent a request
     * whose identifier isn't in the records that were handed over.
     */
    async transferFromLost(
        dispatcher: TargetDispatcher,
        given: ReadonlyMap<string, readonly Slice[]>,
    ): Promise<Result<Transfer, TransferError>> {
        const slices = [...given.values()].flat();
        dispatcher.hold(slices);
        const result = await this.commit(dispatcher, given, "lost");
        dispatcher.unhold(slices);
        return result;
    }

    private async moveHeld(
        dispatcher: TargetDispatcher,
        given: ReadonlyMap<string, readonly Slice[]>,
        slices: readonly Slice[],
        drainLimitMs: number,
    ): Promise<Result<Transfer, TransferError>> {
        if (!(await dispatcher.drained(slices, drainLimitMs))) {
            return err({ type: "not-drained", busy: dispatcher.busyPositions(slices) });
        }
        if (dispatcher.service.grants === "unchecked") {
            // An abandoned request may still be running until its deadline.
            const wait = dispatcher.abandonedUntil - this.options.clock.monotonicMs();
            if (wait > 0) {
                await new Promise<void>(resolve => this.options.clock.setTimer(wait, resolve));
            }
        }
        if (!(await dispatcher.release(slices))) {
            return err({ type: "release-unacknowledged" });
        }
        const state = dispatcher.isDraining ? "draining" : undefined;
        return this.commit(dispatcher, given, state);
    }

    private async commit(
        dispatcher: TargetDispatcher,
        given: ReadonlyMap<string, readonly Slice[]>,
        state: TargetRow["state"] | undefined,
    ): Promise<Result<Transfer, TransferError>> {
        const { clock, replica, membership, transact, peers } = this.options;
        const own = membership.ownCondition();
        const source = replica.get(dispatcher.key, targetRowSchema);
        if (own === undefined) {
            return err({ type: "not-a-member" });
        }
        if (source === undefined || dispatcher.row() === undefined) {
            return err({ type: "not-dispatcher" });
        }
        const receivers = new Map<string, Versioned<TargetRow>>();
        for (const key of given.keys()) {
            const receiver = replica.get(key, targetRowSchema);
            if (receiver === undefined) {
                return err({ type: "receiver-gone", key });
            }
            receivers.set(key, receiver);
        }
        const rows = [source, ...receivers.values()];
        const term = Math.max(...rows.map(({ value }) => value.term)) + 1;
        const handedOver = await this.handOverRecords(dispatcher, given, receivers, term);
        if (handedOver.isErr()) {
            return err(handedOver.error);
        }
        const slices = [...given.values()].flat();
        const left: TargetRow = {
            ...source.value,
            slices: subtractSlices(source.value.slices, slices),
            term,
            state: state ?? source.value.state,
        };
        const writes = [{ key: dispatcher.key, value: left }];
        for (const [key, receiver] of receivers) {
            const merged = normalizeSlices([...receiver.value.slices, ...(given.get(key) ?? [])]);
            const handOver = handedOver.value.get(key) ?? "";
            writes.push({ key, value: { ...receiver.value, slices: merged, term, handOver } });
        }
        const conditions = [
            own,
            { key: dispatcher.key, version: source.version },
            ...[...receivers].map(([key, { version }]) => ({ key, version })),
        ];
        const result = await transactUntilDecided(transact, clock, conditions, writes);
        if (result.isErr()) {
            return err({ type: "platform-unavailable" });
        }
        replica.apply(result.value.rows);
        if (result.value.type === "conflict") {
            return err({ type: "conflict" });
        }
        peers().pushRows(result.value.rows, false);
        return ok({
            source: dispatcher.key,
            given: [...given].map(([receiver, moved]) => ({ receiver, slices: [...moved] })),
            term,
            heldMs: 0,
        });
    }

    /**
     * Hands the records of the slices over to the receiving dispatchers that are other instances. Returns the attempts
     * that were acknowledged, by receiving target.
     */
    private async handOverRecords(
        dispatcher: TargetDispatcher,
        given: ReadonlyMap<string, readonly Slice[]>,
        receivers: ReadonlyMap<string, Versioned<TargetRow>>,
        term: number,
    ): Promise<Result<Map<string, string>, TransferError>> {
        const { membership, records, peers, log } = this.options;
        const self = membership.identity().incarnation;
        const acknowledged = new Map<string, string>();
        for (const [key, slices] of given) {
            const to = receivers.get(key)?.value.dispatcher ?? "";
            if (to === self || to === "") {
                continue;
            }
            const handOver = records.export(dispatcher.service, slices, key, term);
            if (await this.sendRecords(to, handOver)) {
                acknowledged.set(key, handOver.attempt);
            } else if (!dispatcher.keeper.lost && peers().controlLink(to) !== undefined) {
                return err({ type: "records-unacknowledged", dispatcher: to });
            } else {
                // This is safe, because the receiver's row then states no handover, so that the receiver reads the durable
                // record or refuses identifiers from before the transfer.
                log.warn("Handing over records failed.", { to, positions: slicesSize(slices) });
            }
        }
        return ok(acknowledged);
    }

    /** Sends records to their next dispatcher. Returns true if it acknowledged them. */
    async sendRecords(to: string, handOver: unknown): Promise<boolean> {
        const link = this.options.peers().controlLink(to);
        const answer = await link?.ask("records", handOver, DEFAULT_HAND_OVER_TIMEOUT_MS);
        return answer === "true";
    }
}
