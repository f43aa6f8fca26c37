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

/** What accompanies the records when a target gets another dispatcher, rather than slices another target. */
export interface TargetHandOver {
    runs?: EarlierRuns;
    load?: HandedOverLoad;
}

/** Most rows in one message of a full exchange. */
const ROWS_PER_NOTE = 500;

/** Handles a note that concerns another part; gives the answer to a question. */
export type NoteHandler = (payload: string, from: string) => string | undefined;

/** What the control handler passes on. */
export interface ControlHandlerOptions {
    replica: TableReplica;
    lease: DomainLease;
    membership: Membership;
    domain: string;
    now: () => number;
    completeRevision: () => number;
    /** Rows go on to the own domain if they came from another one, or if its members don't all have links to each other. */
    passOn: (rows: VersionedRow[]) => void;
    /** Whether the members of the own domain don't all have links to each other. */
    isLargeDomain: () => boolean;
    /** A member opened a control stream to this instance, on which `send` reaches it. */
    streamOpened: (incarnation: string, send: (control: Control) => void) => void;
    /** A member sent a heartbeat, which said whether its lease counts this instance. */
    heartbeatHeard: (incarnation: string, countsReceiver: boolean) => void;
    /** A member answered a heartbeat of this instance. */
    heartbeatAnswered: (incarnation: string, sequence: number, promiseMs: number) => void;
    /** A member told the bundle version under which it works. */
    bundleVersionHeard: (incarnation: string, version: number) => void;
    takeRecords: (handOver: RecordHandOver, target: TargetHandOver) => boolean;
    /** Handlers of further kinds of notes, by kind. */
    notes: ReadonlyMap<string, NoteHandler>;
}

/** Messages that carry rows, split so that each stays small. */
const rowNotes = (rows: readonly VersionedRow[]): Control[] => {
    const notes: Control[] = [];
    for (let start = 0; start < rows.length; start += ROWS_PER_NOTE) {
        notes.push(noteControl("rows", JSON.stringify(rows.slice(start, start + ROWS_PER_NOTE))));
    }
    return notes;
};

/**
 * Handles the control messages of one peer. On a stream that the peer opened, it is known from its hello on.
 *
 * @example
 * const handle = createControlHandler(options, undefined);
 * handle(control, reply => batcher.add(reply));
 */
export const createControlHandler = (options: ControlHandlerOptions, peer: ControlPeer | undefined) => {
    const { replica, lease, membership } = options;
    let from = peer?.incarnation ?? "";
    let fromDomain = peer?.domain ?? "";
    /** Incarnation of this instance for which the peer's messages are meant; empty where it didn't say. */
    let meantFor = "";
    /**
     * An instance may have got the address of a dead one, for which it must not answer; and what was said to an earlier
     * incarnation of this instance doesn't hold for the present one.
     */
    const isMeantForOther = () => meantFor !== "" && meantFor !== membership.identity().incarnation;

    const takeRows = (payload: string) => {
        const rows = rowsSchema.safeParse(parseJson(payload));
        if (!rows.success) {
            return;
        }
        const changed = replica.apply(
            rows.data.map(({ key, version, value }): VersionedRow => ({ key, version, value })),
        );
        const isForeign = fromDomain !== "" && fromDomain !== options.domain;
        if (changed.length > 0 && (isForeign || options.isLargeDomain())) {
            options.passOn(changed);
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
            // A member of a small domain that never promised wasn't known to the former dispatcher, whose grants rest on the
            // promises of more than half of those that it knew.
            return knowsTakeover && options.isLargeDomain();
        }
        return knowsTakeover && promisedUntil <= options.now();
    };

    const takeRecords = (payload: string): boolean => {
        const parsed = handOverNoteSchema.safeParse(parseJson(payload));
        if (!parsed.success) {
            return false;
        }
        const { runs, load, ...handOver } = parsed.data;
        return options.takeRecords(handOver, { runs, load });
    };

    const takeNote = ({ kind, payload, correlation }: Note, reply: (control: Control) => void) => {
        const answer = (text: string) => reply(noteControl(kind, text, correlation, true));
        switch (kind) {
            case "rows":
                takeRows(payload);
                return;
            case "lapse":
                answer(String(confirmsLapse(payload)));
                return;
            case "records":
                answer(String(takeRecords(payload)));
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
            meantFor = control.hello.receiver ?? "";
            const { completeRevision } = control.hello;
            options.streamOpened(from, reply);
            rowNotes(replica.all().filter(({ version }) => version > completeRevision)).forEach(reply);
        } else if (isMeantForOther() && control.note?.kind !== "rows") {
            // Rows hold for every instance; anything else would speak for the dead one.
        } else if (control.heartbeat) {
            const { sequence, countsReceiver, bundleVersion } = control.heartbeat;
            options.bundleVersionHeard(from, bundleVersion);
            const isMember = membership.members().some(({ incarnation }) => incarnation === from);
            if (isMember) {
                membership.toldByMember(from, sequence, countsReceiver);
                options.heartbeatHeard(from, membership.isCountedBy(from));
            }
            const promiseMs = isMember && membership.isRegistered() ? lease.promise(from) : 0;
            reply({ heartbeatReply: { sequence, promiseMs } });
        } else if (control.heartbeatReply) {
            const { sequence, promiseMs } = control.heartbeatReply;
            options.heartbeatAnswered(from, sequence, promiseMs);
        } else if (control.note) {
            takeNote(control.note, reply);
        }
    };
};
