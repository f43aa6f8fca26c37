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

/** Time after which a rollout ends without acceptance. Long enough to outlast a platform outage in the middle. */
export const DEFAULT_ROLL_TIMEOUT_MS = 60_000;
/** Interval of polling the table while domains confirm. */
export const DEFAULT_ROLL_POLL_MS = 200;

const WATCHED_PREFIXES = ["bundle/", "member/"];

/** Current step of a rollout. */
export type RollStage = "storing" | "offering" | "confirming" | "accepting" | "accepted";

/** Progress of a rollout, reported on each change. */
export interface RollProgress {
    stage: RollStage;
    domains: BundleStatus["domains"];
    /** Why the platform is currently unavailable, or `undefined`. */
    platformProblem: string | undefined;
}

/** Accepted or offered bundle that prevents the acceptance of another one. */
export interface CompetingBundle {
    author: string;
    version: number;
    digest: string;
    /** `accepted` if it is in force, `offered` if it awaits confirmation by the domains. */
    state: "accepted" | "offered";
}

/** Why a bundle was not accepted. */
export type RollFailure =
    /** The bundle itself is refused. `winner` is the bundle in force if the version is too low. */
    | { type: "refused"; refusal: BundleRefusal; winner: CompetingBundle | undefined }
    /** Another operator's bundle was accepted or offered first, or replaced this offer with a higher version. */
    | { type: "lost-race"; winner: CompetingBundle; detail: string }
    /** The listed domains refused or didn't confirm in time. The offer has been withdrawn. */
    | { type: "not-accepted"; missing: string[]; refused: { domain: string; reason: string }[]; detail: string }
    /** The platform was unavailable, and this rollout was not accepted. The offer may still be pending. */
    | { type: "platform-unavailable"; stage: RollStage; detail: string }
    /** The result of the accepting write is unknown. Repeating the rollout determines it. */
    | { type: "result-unknown"; detail: string };

/** An accepted bundle. */
export interface RollResult {
    version: number;
    digest: string;
    /** Wall time of the acceptance in milliseconds since the Unix epoch. */
    acceptedAtMs: number;
    /** True if it was in force before this run. */
    alreadyAccepted: boolean;
}

/** Options of a rollout. */
export interface RollOptions {
    table: BundleTable;
    objects: BundleObjects;
    signers: Signers;
    clock: Clock;
    content: Buffer;
    signature: BundleSignature | undefined;
    onProgress?: (progress: RollProgress) => void;
    /** Called with the rows that the rollout read or wrote, so that the instance needn't wait for its next poll. */
    onRows?: (rows: readonly VersionedRow[]) => void;
    limitMs?: number;
    pollMs?: number;
}

/**
 * Rolls out one bundle, from the offer to its acceptance. Every step is derived from the latest rows read and written
 * under conditions on their versions, so a rollout may be repeated, resumed after a crash or run twice concurrently.
 */
class BundleRoll {
    private readonly replica = new TableReplica();
    private readonly startedAt: number;
    private revision: number | undefined;
    private stage: RollStage = "storing";
    private isStored = false;
    /** True after the first evaluation of the rows. An acceptance found by the first one precedes this run. */
    private evaluated = false;
    /** True while an accepting write with an unknown result may still take effect. */
    private acceptancePending = false;
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
            const { clock, limitMs = DEFAULT_ROLL_TIMEOUT_MS, pollMs = DEFAULT_ROLL_POLL_MS } = this.options;
            if (clock.monotonicMs() - this.startedAt >= limitMs) {
                return this.giveUp(advanced.isErr() ? advanced.error : undefined);
            }
            await new Promise<void>(resolve => clock.setTimer(pollMs, resolve));
        }
    }

    /** Takes the next step. Returns the result of the rollout, `undefined` if it continues, or the platform's error. */
    private async advance(): Promise<Result<Result<RollResult, RollFailure> | undefined, PlatformError>> {
        const refreshed = await this.refresh();
        if (refreshed.isErr()) {
            return err(refreshed.error);
        }
        const ended = this.impliedResult();
        this.evaluated = true;
        if (ended !== undefined) {
            return ok(ended);
        }
        if (!this.isStored) {
            const put = await this.options.objects.put(this.signature.digest, this.options.content);
            if (put.isErr()) {
                return err(put.error);
            }
            this.isStored = true;
        }
        const status = bundleStatus(this.replica);
        if (status.offer === undefined || !this.isSameBundle(status.offer)) {
            this.stage = "offering";
            const written = await this.write([BUNDLE_OFFER_KEY, BUNDLE_CURRENT_KEY], [this.offerWrite("offered")]);
            return written.map(() => this.impliedResult());
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
        this.acceptancePending ||= written.isErr() && written.error.type !== "platform-unavailable";
        return written.map(committed => (committed ? ok(this.accepted(acceptedAtMs, false)) : this.impliedResult()));
    }

    /** The result of the rollout that the latest rows imply, if any. */
    private impliedResult(): Result<RollResult, RollFailure> | undefined {
        const current = this.replica.get(BUNDLE_CURRENT_KEY, bundleCurrentRowSchema)?.value;
        const { offer } = bundleStatus(this.replica);
        const { version } = this.signature;
        if (current !== undefined && current.version === version && current.digest === this.signature.digest) {
            return ok(this.accepted(current.acceptedAtMs, !this.evaluated));
        }
        if (current !== undefined && current.version >= version) {
            const winner: CompetingBundle = { ...competingBundle(current), state: "accepted" };
            const detail = `Version ${current.version} of ${current.author} is in force. Use a higher version.`;
            const refusal = { type: "not-newer" as const, version, inForce: current.version, detail };
            return err(this.evaluated ? { type: "lost-race", winner, detail } : { type: "refused", refusal, winner });
        }
        if (offer !== undefined && !this.isSameBundle(offer) && offer.version >= version) {
            const detail =
                `Version ${offer.version} of ${offer.author} is being rolled out. ` +
                `Wait for it, or replace it with version ${offer.version + 1} or higher.`;
            return err({ type: "lost-race", winner: { ...competingBundle(offer), state: "offered" }, detail });
        }
        return undefined;
    }

    /** Ends the rollout without acceptance. Withdrawing the offer also makes an accepting write in flight fail. */
    private async giveUp(problem: PlatformError | undefined): Promise<Result<RollResult, RollFailure>> {
        const before = bundleStatus(this.replica);
        const isOffered = before.offer !== undefined && this.isSameBundle(before.offer);
        // A committed withdrawal determines the result, whatever failed before it: its condition on the current row
        // shows that no accepting write has taken effect, and the changed offer row ensures that none will.
        const withdrawn = isOffered
            ? await this.write([BUNDLE_OFFER_KEY, BUNDLE_CURRENT_KEY], [this.offerWrite("withdrawn")])
            : undefined;
        // A conflict means that another run or another operator has changed the rows, which show the offer's outcome.
        const settled = withdrawn?.isOk() && !withdrawn.value ? await this.refresh() : withdrawn;
        const settlingProblem = settled?.isErr() ? settled.error : undefined;
        const failure = settled === undefined ? problem : settlingProblem;
        if (failure !== undefined) {
            return this.acceptancePending
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
        const ended = this.impliedResult();
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

    private isSameBundle(other: BundleSignature): boolean {
        const { version, digest, author } = this.signature;
        return other.version === version && other.digest === digest && other.author === author;
    }

    private offerWrite(state: "offered" | "withdrawn"): RowWrite {
        return { key: BUNDLE_OFFER_KEY, value: { ...this.signature, state } };
    }

    /** Writes if the rows of `keys` are unchanged since they were read. Returns whether the write was committed. */
    private async write(keys: readonly string[], writes: readonly RowWrite[]): Promise<Result<boolean, PlatformError>> {
        const conditions = keys.map(key => ({ key, version: this.replica.conditionVersion(key) }));
        const result = await this.options.table.transact(conditions, writes);
        return result.map(({ type, rows }) => {
            this.applyRows(rows);
            return type === "committed";
        });
    }

    /** Updates the replica: by a full scan the first time, then by reading changes. */
    private async refresh(): Promise<Result<void, PlatformError>> {
        const { table } = this.options;
        if (this.revision !== undefined) {
            const changes = await table.changes(this.revision, WATCHED_PREFIXES);
            return changes.map(({ revision, rows }) => {
                this.revision = revision;
                this.applyRows(rows);
            });
        }
        const revisions: number[] = [];
        for (const prefix of WATCHED_PREFIXES) {
            const scanned = await table.scan(prefix);
            if (scanned.isErr()) {
                return err(scanned.error);
            }
            this.applyRows(scanned.value.rows);
            revisions.push(scanned.value.revision);
        }
        this.revision = Math.min(...revisions);
        return ok(undefined);
    }

    private applyRows(rows: readonly VersionedRow[]): void {
        this.replica.apply(rows);
        this.options.onRows?.(rows);
    }

    private report(): void {
        const { domains } = bundleStatus(this.replica);
        const progress = { stage: this.stage, domains, platformProblem: this.platformProblem };
        const text = JSON.stringify(progress);
        if (text !== this.lastProgress) {
            this.lastProgress = text;
            this.options.onProgress?.(progress);
        }
    }
}

const competingBundle = ({ author, version, digest }: BundleSignature) => ({ author, version, digest });

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
 * Rolls out a signed bundle: verifies it, stores its content, offers it, waits until every domain with registered
 * members has confirmed it, and makes it current in one conditional write. Of several concurrent rollouts only one
 * succeeds; the others report which one did. A rollout may be run again after any failure.
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

/** Most recently accepted bundles, newest first. */
export const bundleHistory = async (table: BundleTable): Promise<Result<BundleHistoryRow[], PlatformError>> => {
    const scanned = await table.scan(BUNDLE_HISTORY_PREFIX);
    return scanned.map(({ rows }) =>
        rows
            .map(row => bundleHistoryRowSchema.safeParse(row.value))
            .flatMap(parsed => (parsed.success ? [parsed.data] : []))
            .sort((a, b) => b.version - a.version),
    );
};
