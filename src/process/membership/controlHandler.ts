import { z } from "zod";
import { noteControl, type Control, type Note } from "../../connection/peerProtocol.js";
import type { DomainLease } from "./domainLease.js";
import type { Membership } from "./membership.js";
import type { ControlPeer } from "./peers.js";
import { handedOverLoadSchema, type HandedOverLoad } from "../balance/dispatchedLoad.js";
import { earlierRunsSchema, type EarlierRuns } from "./earlierRuns.js";
import { parseJson } from "../runtime/parseJson.js";
import { recordHandOverSchema, type RecordHandOver } from "../records/recordHandOver.js";
import type { VersionedRow } from "../store/rows.js";
import type { TableReplica } from "../store/tableReplica.js";

const rowsSchema = z.array(z.object({ key: z.string(), version: z.number().int(), value: z.unknown().optional() }));
const lapseSchema = z.object({ incarnation: z.string(), key: z.string(), version: z.number().int() });
const handOverNoteSchema = recordHandOverSchema.extend({
    runs: earlierRunsSchema.optional(),
    load: handedOverLoadSchema.optional(),
});

/** State that accompanies the records when a target gets another dispatcher; absent when slices get another target. */
export interface TargetHandOver {
    runs?: EarlierRuns;
    load?: HandedOverLoad;
}

/** Maximum number of rows in one message of a full exchange. */
const ROWS_PER_NOTE = 500;

/** Handles a note for another component. Returns the answer if the note is a question. */
export type NoteHandler = (payload: string, from: string) => string | undefined;

/** State and callbacks of the control handler. */
export interface ControlHandlerOptions {
    replica: TableReplica;
    lease: DomainLease;
    membership: Membership;
    domain: string;
    now: () => number;
    completeRevision: () => number;
    /** Relays rows within this domain: those of other domains, or all if not all members have links to each other. */
    relayRows: (rows: VersionedRow[]) => void;
    /** Whether not all members of this domain have links to each other. */
    isLargeDomain: () => boolean;
    /** A member opened a control stream to this instance, on which `send` reaches it. */
    streamOpened: (incarnation: string, send: (control: Control) => void) => void;
    /** A member sent a heartbeat, which states whether its lease depends on this instance. */
    heartbeatReceived: (incarnation: string, countsReceiver: boolean) => void;
    /** A member answered a heartbeat of this instance. */
    heartbeatAnswered: (incarnation: string, sequence: number, promiseMs: number) => void;
    /** A member reported the bundle version that it uses. */
    bundleVersionReceived: (incarnation: string, version: number) => void;
    importRecords: (handOver: RecordHandOver, target: TargetHandOver) => boolean;
    /** Handlers of further kinds of notes, by kind. */
    notes: ReadonlyMap<string, NoteHandler>;
}

/** Messages that carry rows, split to limit the size of each. */
const rowNotes = (rows: readonly VersionedRow[]): Control[] => {
    const notes: Control[] = [];
    for (let start = 0; start < rows.length; start += ROWS_PER_NOTE) {
        notes.push(noteControl("rows", JSON.stringify(rows.slice(start, start + ROWS_PER_NOTE))));
    }
    return notes;
};

/**
 * Creates a handler of the control messages of one peer. On a stream that the peer opened, its hello identifies it.
 *
 * @example
 * const handle = createControlHandler(options, undefined);
 * handle(control, reply => batcher.add(reply));
 */
export const createControlHandler = (options: ControlHandlerOptions, peer: ControlPeer | undefined) => {
    const { replica, lease, membership } = options;
    let from = peer?.incarnation ?? "";
    let fromDomain = peer?.domain ?? "";
    /** Incarnation to which the peer addresses its messages; empty if it didn't specify one. */
    let receiver = "";
    /**
     * This instance may have been given the address of a dead one, for which it must not answer. Messages to an earlier
     * incarnation of this instance aren't valid for the current one either.
     */
    const isForOtherIncarnation = () => receiver !== "" && receiver !== membership.identity().incarnation;

    const applyRows = (payload: string) => {
        const rows = rowsSchema.safeParse(parseJson(payload));
        if (!rows.success) {
            return;
        }
        const changed = replica.apply(
            rows.data.map(({ key, version, value }): VersionedRow => ({ key, version, value })),
        );
        const isForeign = fromDomain !== "" && fromDomain !== options.domain;
        if (changed.length > 0 && (isForeign || options.isLargeDomain())) {
            options.relayRows(changed);
        }
    };

    const confirmsLapse = (payload: string): boolean => {
        const question = lapseSchema.safeParse(parseJson(payload));
        if (!question.success) {
            return false;
        }
        const { incarnation, key, version } = question.data;
        const promisedUntil = lease.promisedUntil(incarnation);
        const knowsTakeover = (replica.row(key)?.version ?? 0) >= version;
        if (promisedUntil === undefined) {
            // In a small domain, a member that never gave a promise wasn't known to the former dispatcher, whose grants
            // depend on the promises of more than half of the members that it knew.
            return knowsTakeover && options.isLargeDomain();
        }
        return knowsTakeover && promisedUntil <= options.now();
    };

    const importRecords = (payload: string): boolean => {
        const parsed = handOverNoteSchema.safeParse(parseJson(payload));
        if (!parsed.success) {
            return false;
        }
        const { runs, load, ...handOver } = parsed.data;
        return options.importRecords(handOver, { runs, load });
    };

    const handleNote = ({ kind, payload, correlation }: Note, reply: (control: Control) => void) => {
        const answer = (text: string) => reply(noteControl(kind, text, correlation, true));
        switch (kind) {
            case "rows":
                applyRows(payload);
                return;
            case "lapse":
                answer(String(confirmsLapse(payload)));
                return;
            case "records":
                answer(String(importRecords(payload)));
                return;
        }
        const answered = options.notes.get(kind)?.(payload, from);
        if (answered !== undefined && correlation !== 0) {
            answer(answered);
        }
    };

    return (control: Control, reply: (control: Control) => void): void => {
        if (control.hello) {
            from = control.hello.incarnation;
            fromDomain = control.hello.domain;
            receiver = control.hello.receiver ?? "";
            const { completeRevision } = control.hello;
            options.streamOpened(from, reply);
            rowNotes(replica.all().filter(({ version }) => version > completeRevision)).forEach(reply);
        } else if (isForOtherIncarnation() && control.note?.kind !== "rows") {
            // Rows are valid for every instance; handling anything else would answer for the dead one.
        } else if (control.heartbeat) {
            const { sequence, countsReceiver, bundleVersion } = control.heartbeat;
            options.bundleVersionReceived(from, bundleVersion);
            const isMember = membership.members().some(({ incarnation }) => incarnation === from);
            if (isMember) {
                membership.recordLeaseDependency(from, sequence, countsReceiver);
                options.heartbeatReceived(from, membership.isCountedBy(from));
            }
            const promiseMs = isMember && membership.isRegistered() ? lease.promise(from) : 0;
            reply({ heartbeatReply: { sequence, promiseMs } });
        } else if (control.heartbeatReply) {
            const { sequence, promiseMs } = control.heartbeatReply;
            options.heartbeatAnswered(from, sequence, promiseMs);
        } else if (control.note) {
            handleNote(control.note, reply);
        }
    };
};
