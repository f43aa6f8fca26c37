import { err, ok, type Result } from "neverthrow";
import { verifyBundle, type BundleRefusal, type BundleSignature, type Signers } from "../../version/signature.js";
import {
    BUNDLE_CURRENT_KEY,
    BUNDLE_HISTORY_PREFIX,
    BUNDLE_OFFER_KEY,
    bundleConfirmedKey,
    bundleCurrentRowSchema,
    bundleHistoryKey,
    bundleHistoryRowSchema,
    bundleStatus,
    type BundleHistoryRow,
    type BundleObjects,
    type BundleStatus,
    type BundleTable,
} from "./bundleRows.js";
import type { Clock } from "../runtime/clock.js";
import type { PlatformError } from "../store/platformError.js";
import type { RowWrite } from "../store/platformTable.js";
import type { VersionedRow } from "../store/rows.js";
import { TableReplica } from "../store/tableReplica.js";

/** Time after which a rollout ends without acceptance. Leaves room for an outage of the platform in the middle. */
export const DEFAULT_ROLL_LIMIT_MS = 60_000;
/** Pause between two looks at the table while domains confirm. */
export const DEFAULT_ROLL_POLL_MS = 200;

const WATCHED_PREFIXES = ["bundle/", "member/"];

/** What a rollout is doing. */
export type RollStage = "storing" | "offering" | "confirming" | "accepting" | "accepted";

/** Reported each time that it changes. */
export interface RollProgress {
    stage: RollStage;
    domains: BundleStatus["domains"];
    /** Why the platform gives no answer at the moment, or `undefined`. */
    platformProblem: string | undefined;
}

/** The bundle that stands in the way of another one. */
export interface RollWinner {
    author: string;
    version: number;
    digest: string;
    /** Whether it is in force, or offered and waiting for the domains. */
    state: "accepted" | "offered";
}

/** Why a bundle was not accepted. */
export type RollFailure =
    /** The bundle itself is refused. `winner` is the bundle in force where the version is too low. */
    | { type: "refused"; refusal: BundleRefusal; winner: RollWinner | undefined }
    /** Another operator's bundle was accepted or offered first, or replaced this offer with a higher version. */
    | { type: "lost-race"; winner: RollWinner; detail: string }
    /** The named domains refused or didn't confirm in time. The offer has been withdrawn. */
    | { type: "not-accepted"; missing: string[]; refused: { domain: string; reason: string }[]; detail: string }
    /** The platform couldn't be reached, and this rollout has not been accepted. The offer may stand. */
    | { type: "platform-unavailable"; stage: RollStage; detail: string }
    /** The result of the accepting write couldn't be found out. Running the rollout again does. */
    | { type: "result-unknown"; detail: string };

/** An accepted bundle. */
export interface RollResult {
    version: number;
    digest: string;
    /** Wall time of the acceptance in milliseconds since the Unix epoch. */
    acceptedAtMs: number;
    /** True when it was in force before this run. */
    alreadyAccepted: boolean;
}

/** What a rollout works with. */
export interface RollOptions {
    table: BundleTable;
    objects: BundleObjects;
    signers: Signers;
    clock: Clock;
    content: Buffer;
    signature: BundleSignature | undefined;
    onProgress?: (progress: RollProgress) => void;
    /** Gets the rows that the rollout read or wrote, so that the instance needn't wait for its next poll. */
    onRows?: (rows: readonly VersionedRow[]) => void;
    limitMs?: number;
    pollMs?: number;
}

/**
 * Carries one bundle from offer to acceptance. Every step is derived from the rows read last and written under
 * conditions on them, so a rollout may be repeated, resumed after a crash or run twice at once.
 */
class BundleRoll {
    private readonly view = new TableReplica();
    private readonly startedAt: number;
    private revision: number | undefined;
    private stage: RollStage = "storing";
    private stored = false;
    private seenBefore = false;
    /** True while an accepting write may yet take effect. */
    private acceptanceOpen = false;
    private platformProblem: string | undefined;
    private lastProgress = "";

    constructor(
        private readonly options: RollOptions,
        private readonly signature: BundleSignature,
    ) {
        this.startedAt = options.clock.monotonicMs();
    }

    async run(): Promise<Result<RollResult, RollFailure>> {
        for (;;) {
            const advanced = await this.advance();
            if (advanced.isOk() && advanced.value !== undefined) {
                return advanced.value;
            }
            this.platformProblem = advanced.isErr() ? advanced.error.detail : undefined;
            this.report();
            const { clock, limitMs = DEFAULT_ROLL_LIMIT_MS, pollMs = DEFAULT_ROLL_POLL_MS } = this.options;
            if (clock.monotonicMs() - this.startedAt >= limitMs) {
                return this.giveUp(advanced.isErr() ? advanced.error : undefined);
            }
            await new Promise<void>(resolve => clock.setTimer(pollMs, resolve));
        }
    }

    /** Takes the next step. Gives the end of the rollout, `undefined` when it goes on, or why the platform failed. */
    private async advance(): Promise<Result<Result<RollResult, RollFailure> | undefined, PlatformError>> {
        const refreshed = await this.refresh();
        if (refreshed.isErr()) {
            return err(refreshed.error);
        }
        const ended = this.endOf();
        this.seenBefore = true;
        if (ended !== undefined) {
            return ok(ended);
        }
        if (!this.stored) {
            const put = await this.options.objects.put(this.signature.digest, this.options.content);
            if (put.isErr()) {
                return err(put.error);
            }
            this.stored = true;
        }
        const status = bundleStatus(this.view);
        if (status.offer === undefined || !this.isThis(status.offer)) {
            this.stage = "offering";
            const written = await this.write([BUNDLE_OFFER_KEY, BUNDLE_CURRENT_KEY], [this.offerWrite("offered")]);
            return written.map(() => this.endOf());
        }
        this.stage = "confirming";
        const decisions = Object.values(status.domains).map(({ decision }) => decision);
        if (decisions.includes("refused")) {
            return ok(await this.giveUp(undefined));
        }
        if (decisions.length === 0 || decisions.includes("waiting")) {
            return ok(undefined);
        }
        this.stage = "accepting";
        this.report();
        return this.accept(Object.keys(status.domains));
    }

    private async accept(
        domains: readonly string[],
    ): Promise<Result<Result<RollResult, RollFailure> | undefined, PlatformError>> {
        const { version, digest, author } = this.signature;
        const acceptedAtMs = this.options.clock.wallMs();
        const written = await this.write(
            [BUNDLE_OFFER_KEY, BUNDLE_CURRENT_KEY, ...domains.map(bundleConfirmedKey)],
            [
                { key: BUNDLE_CURRENT_KEY, value: { ...this.signature, state: "accepted", acceptedAtMs } },
                { key: bundleHistoryKey(version), value: { version, digest, author, acceptedAtMs } },
            ],
        );
        this.acceptanceOpen ||= written.isErr() && written.error.type !== "platform-unavailable";
        return written.map(committed => (committed ? ok(this.accepted(acceptedAtMs, false)) : this.endOf()));
    }

    /** The end that the rows read last imply, if any. */
    private endOf(): Result<RollResult, RollFailure> | undefined {
        const current = this.view.get(BUNDLE_CURRENT_KEY, bundleCurrentRowSchema)?.value;
        const { offer } = bundleStatus(this.view);
        const { version } = this.signature;
        if (current !== undefined && current.version === version && current.digest === this.signature.digest) {
            return ok(this.accepted(current.acceptedAtMs, !this.seenBefore));
        }
        if (current !== undefined && current.version >= version) {
            const winner: RollWinner = { ...winnerOf(current), state: "accepted" };
            const detail = `Version ${current.version} of ${current.author} is in force. Use a higher version.`;
            const refusal = { type: "not-newer" as const, version, inForce: current.version, detail };
            return err(this.seenBefore ? { type: "lost-race", winner, detail } : { type: "refused", refusal, winner });
        }
        if (offer !== undefined && !this.isThis(offer) && offer.version >= version) {
            const detail =
                `Version ${offer.version} of ${offer.author} is being rolled out. ` +
                `Wait for it, or replace it with version ${offer.version + 1} or higher.`;
            return err({ type: "lost-race", winner: { ...winnerOf(offer), state: "offered" }, detail });
        }
        return undefined;
    }

    /** Ends the rollout without acceptance. The withdrawal also makes an accepting write under way fail. */
    private async giveUp(problem: PlatformError | undefined): Promise<Result<RollResult, RollFailure>> {
        const before = bundleStatus(this.view);
        const isOffered = before.offer !== undefined && this.isThis(before.offer);
        // A withdrawal that is committed settles the result, whatever went wrong before it: the condition on the current
        // row shows that no accepting write has taken effect, and the changed offer that none will.
        const withdrawn = isOffered
            ? await this.write([BUNDLE_OFFER_KEY, BUNDLE_CURRENT_KEY], [this.offerWrite("withdrawn")])
            : undefined;
        // After a conflict, another run or another operator has changed the rows, which tell what became of the offer.
        const settled = withdrawn?.isOk() && !withdrawn.value ? await this.refresh() : withdrawn;
        const settlingProblem = settled?.isErr() ? settled.error : undefined;
        const failure = settled === undefined ? problem : settlingProblem;
        if (failure !== undefined) {
            return this.acceptanceOpen
                ? err({
                      type: "result-unknown",
                      detail: `The reply to the accepting write was lost (${failure.detail}). Run the rollout again.`,
                  })
                : err({
                      type: "platform-unavailable",
                      stage: this.stage,
                      detail: `The platform gives no answer (${failure.detail}). Run the rollout again later.`,
                  });
        }
        const ended = this.endOf();
        if (ended !== undefined) {
            return ended;
        }
        return err(notAccepted(before.domains));
    }

    private accepted(acceptedAtMs: number, alreadyAccepted: boolean): RollResult {
        this.stage = "accepted";
        this.platformProblem = undefined;
        this.report();
        const { version, digest } = this.signature;
        return { version, digest, acceptedAtMs, alreadyAccepted };
    }

    private isThis(other: BundleSignature): boolean {
        const { version, digest, author } = this.signature;
        return other.version === version && other.digest === digest && other.author === author;
    }

    private offerWrite(state: "offered" | "withdrawn"): RowWrite {
        return { key: BUNDLE_OFFER_KEY, value: { ...this.signature, state } };
    }

    /** Writes under the condition that the rows of `keys` are as read last. Tells whether it was committed. */
    private async write(keys: readonly string[], writes: readonly RowWrite[]): Promise<Result<boolean, PlatformError>> {
        const conditions = keys.map(key => ({ key, version: this.view.conditionVersion(key) }));
        const result = await this.options.table.transact(conditions, writes);
        return result.map(({ type, rows }) => {
            this.take(rows);
            return type === "committed";
        });
    }

    /** Brings the view up to date: a full read first, then the changes. */
    private async refresh(): Promise<Result<void, PlatformError>> {
        const { table } = this.options;
        if (this.revision !== undefined) {
            const changes = await table.changes(this.revision, WATCHED_PREFIXES);
            return changes.map(({ revision, rows }) => {
                this.revision = revision;
                this.take(rows);
            });
        }
        const revisions: number[] = [];
        for (const prefix of WATCHED_PREFIXES) {
            const scanned = await table.scan(prefix);
            if (scanned.isErr()) {
                return err(scanned.error);
            }
            this.take(scanned.value.rows);
            revisions.push(scanned.value.revision);
        }
        this.revision = Math.min(...revisions);
        return ok(undefined);
    }

    private take(rows: readonly VersionedRow[]): void {
        this.view.apply(rows);
        this.options.onRows?.(rows);
    }

    private report(): void {
        const { domains } = bundleStatus(this.view);
        const progress = { stage: this.stage, domains, platformProblem: this.platformProblem };
        const text = JSON.stringify(progress);
        if (text !== this.lastProgress) {
            this.lastProgress = text;
            this.options.onProgress?.(progress);
        }
    }
}

const winnerOf = ({ author, version, digest }: BundleSignature) => ({ author, version, digest });

const notAccepted = (domains: BundleStatus["domains"]): RollFailure => {
    const entries = Object.entries(domains);
    const missing = entries.filter(([, { decision }]) => decision === "waiting").map(([domain]) => domain);
    const refused = entries
        .filter(([, { decision }]) => decision === "refused")
        .map(([domain, { reason }]) => ({ domain, reason: reason ?? "no reason given" }));
    const parts = [
        ...refused.map(({ domain, reason }) => `Domain ${domain} refused the bundle: ${reason}`),
        ...(missing.length > 0 ? [`Not confirmed by: ${missing.join(", ")}.`] : []),
        ...(entries.length > 0 && missing.length + refused.length === 0
            ? ["All domains confirmed it, but the accepting write got no reply in time and has been ruled out."]
            : []),
        ...(entries.length === 0 ? ["No instance is registered in any domain."] : []),
    ];
    return { type: "not-accepted", missing, refused, detail: parts.join(" ") };
};

/**
 * Rolls a signed bundle out: checks it, stores its content, offers it, waits for every domain that has registered
 * members to confirm it, and makes it current by one conditional write. Only one of several rollouts at once succeeds;
 * the others are told which one did. A rollout may be run again after any failure.
 *
 * @example
 * const rolled = await rollBundle({ table, objects, signers, clock, content, signature, onProgress: print });
 */
export const rollBundle = async (options: RollOptions): Promise<Result<RollResult, RollFailure>> => {
    const { content, signature, signers, clock } = options;
    const verified = verifyBundle(content, signature, { signers, wallMs: clock.wallMs(), inForceVersion: 0 });
    if (verified.isErr() || signature === undefined) {
        const refusal = verified.isErr() ? verified.error : { type: "unsigned" as const, detail: "No signature." };
        return err({ type: "refused", refusal, winner: undefined });
    }
    return new BundleRoll(options, signature).run();
};

/** The last accepted bundles, newest first. */
export const bundleHistory = async (table: BundleTable): Promise<Result<BundleHistoryRow[], PlatformError>> => {
    const scanned = await table.scan(BUNDLE_HISTORY_PREFIX);
    return scanned.map(({ rows }) =>
        rows
            .map(row => bundleHistoryRowSchema.safeParse(row.value))
            .flatMap(parsed => (parsed.success ? [parsed.data] : []))
            .sort((a, b) => b.version - a.version),
    );
};
