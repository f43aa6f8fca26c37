import { err, ok, type Result } from "neverthrow";
import type { OperatorReply } from "../../connection/operatorCalls.js";
import { operatorError, type OperatorError } from "../../connection/operatorError.js";
import { parseBundle } from "../../version/parseBundle.js";
import { bundleDigest, type BundleSignature } from "../../version/signature.js";
import type { AuditTrail } from "../audit/auditTrail.js";
import { rollBundle, type RollFailure, type RollProgress } from "../bundles/bundleRollout.js";
import type { Daemon } from "../daemon.js";
import { evacuateDomain, evacuationRowKey, type EvacuationError } from "../ownership/domainEvacuation.js";
import { formatInputProblem } from "../settings/inputProblem.js";
import type { PlatformError } from "../store/platformError.js";
import { instanceDrainKey, targetDrainKey } from "../ownership/drainRequests.js";
import type { OperatorCallContext, OperatorHandlers } from "./operatorHandlers.js";
import { targetRowKey, targetRowSchema } from "../store/rows.js";

/** Interval of progress reports, in milliseconds. */
const PROGRESS_INTERVAL_MS = 250;
/** Maximum time for which a call reports on a drain, in milliseconds. The drain itself continues. */
const DRAIN_FOLLOW_TIMEOUT_MS = 600_000;

type Update<Name extends "bundleRoll" | "drain"> = Result<OperatorReply<Name>, OperatorError>;

/** A write with an unknown result may have taken effect. All commands that report this can be sent again safely. */
const platformFailure = ({ type, detail }: PlatformError): OperatorError =>
    type === "platform-unavailable"
        ? operatorError(type, detail)
        : operatorError("result-unknown", `${detail} Send the command again, which is safe.`);

const describeRollFailure = (failure: RollFailure): OperatorError => {
    switch (failure.type) {
        case "refused":
            return operatorError("refused", failure.refusal.detail);
        case "lost-race": {
            const { author, version, state } = failure.winner;
            return operatorError("refused", `${author}'s version ${version} was ${state} first. ${failure.detail}`);
        }
        case "not-accepted":
            return operatorError("not-accepted", failure.detail);
        case "platform-unavailable":
        case "result-unknown":
            return operatorError(failure.type, failure.detail);
    }
};

const describeEvacuationError = (error: EvacuationError): OperatorError => {
    switch (error.type) {
        case "unknown-domain":
            return operatorError(
                "not-found",
                "No instance and no target of that domain is known. See `sassafrasloom instances`.",
            );
        case "domain-answers":
            return operatorError("refused", `Instances of the domain answer: ${error.instances.join(", ")}.`);
        case "all-hold": {
            const remedy =
                "Get the domain back. To have keys move the next time, roll a bundle with on-domain-loss = " +
                "evacuate-by-command, which all domains must confirm.";
            return operatorError("refused", `Each service has its keys wait for their domain. ${remedy}`);
        }
        case "not-a-member":
            return operatorError("refused", "This instance is no member at present. Ask another one.");
        case "no-receiver":
            return operatorError("refused", `No target can take the slices of ${error.target} (${error.service}).`);
        case "conflict":
            return operatorError("refused", "The rows changed meanwhile. Send the command again.");
        case "platform-unavailable":
            return operatorError(
                "platform-unavailable",
                `Not all keys were moved: ${error.detail} Send the command again.`,
            );
        case "result-unknown":
            return operatorError("result-unknown", `${error.detail} Send the command again, which is safe.`);
    }
};

const rollUpdates = ({ stage, domains, platformProblem }: RollProgress): OperatorReply<"bundleRoll">[] => {
    const entries = Object.entries(domains);
    if (stage === "accepted") {
        // Decisions are only known for a pending offer, which this one no longer is. All domains have confirmed it.
        const { length: total } = entries;
        return [{ progress: { scope: "rollout", state: stage, detail: "", done: total, total } }];
    }
    const decided = entries.filter(([, { decision }]) => decision !== "waiting").length;
    const scopes = entries.map(([domain, { decision, reason }]) => ({
        progress: {
            scope: domain,
            state: decision,
            detail: reason ?? "",
            done: decision === "waiting" ? 0 : 1,
            total: 1,
        },
    }));
    const overall = {
        scope: "rollout",
        state: stage,
        detail: platformProblem ?? "",
        done: decided,
        total: entries.length,
    };
    return [{ progress: overall }, ...scopes];
};

/** Operator calls that make changes. */
export type ChangeOperations = Pick<OperatorHandlers, "quarantineClear" | "bundleRoll" | "drain" | "domainEvacuate">;

/**
 * Creates the handlers of operator calls that make changes. They record the changes in the audit trail.
 *
 * @example
 * const handlers = { ...createReadOperations(daemon, metrics), ...createChangeOperations(daemon, audit) };
 */
export const createChangeOperations = (daemon: Daemon, audit: AuditTrail): ChangeOperations => {
    const pause = (delayMs: number) => new Promise<void>(resolve => daemon.clock.setTimer(delayMs, resolve));
    const actorOf = ({ operator }: OperatorCallContext) => operator ?? "unknown";

    const bundleRoll = async function* (
        request: { content: Uint8Array; author: string; signature: Uint8Array },
        context: OperatorCallContext,
    ): AsyncIterable<Update<"bundleRoll">> {
        const content = Buffer.from(request.content);
        const parsed = parseBundle("bundle", content.toString());
        if (parsed.isErr()) {
            yield err(operatorError("invalid-request", parsed.error.map(formatInputProblem).join("\n")));
            return;
        }
        const signature: BundleSignature = {
            version: parsed.value.version,
            digest: bundleDigest(content),
            author: request.author,
            signature: Buffer.from(request.signature).toString("base64"),
        };
        const updates: OperatorReply<"bundleRoll">[] = [];
        let wake: () => void = () => undefined;
        const before = daemon.bundleVersion();
        const rolling = rollBundle({
            table: daemon.table,
            objects: daemon.objects,
            signers: daemon.signers,
            clock: daemon.clock,
            content,
            signature,
            onProgress: progress => {
                updates.push(...rollUpdates(progress));
                wake();
            },
            onRows: rows => daemon.applyRows(rows),
        }).finally(() => wake());
        let isSettled = false;
        void rolling.then(() => {
            isSettled = true;
        });
        while (!isSettled || updates.length > 0) {
            const next = updates.shift();
            if (next !== undefined) {
                yield ok(next);
            } else {
                await new Promise<void>(resolve => {
                    wake = resolve;
                    // The rollout may have ended between the check and this wait, so the wait is bounded.
                    daemon.clock.setTimer(PROGRESS_INTERVAL_MS, resolve);
                });
            }
        }
        const result = await rolling;
        if (result.isErr()) {
            yield err(describeRollFailure(result.error));
            return;
        }
        const { version, digest } = result.value;
        audit.append({
            action: "bundle",
            subject: `bundle/${version}`,
            actor: actorOf(context),
            cause: `Rolled out, signed by ${request.author}.`,
            before: { version: before },
            after: { version, digest },
        });
        yield ok({ result: { version, digest } });
    };

    const drainTarget = async function* (
        name: string,
        service: string | undefined,
        context: OperatorCallContext,
    ): AsyncIterable<Update<"drain">> {
        const rows = daemon.replica
            .allTargets()
            .map(({ value }) => value)
            .filter(row => row.target === name && (service === undefined || row.service === service));
        if (rows.length === 0) {
            yield err(operatorError("not-found", `There is no target ${name}. See \`sassafrasloom targets\`.`));
            return;
        }
        for (const row of rows) {
            const key = targetDrainKey(row.service, row.target);
            const written = await daemon.writeRow(key, { by: actorOf(context), address: row.address });
            if (written.isErr()) {
                yield err(platformFailure(written.error));
                return;
            }
            audit.append({
                action: "drain",
                subject: targetRowKey(row.service, row.target),
                actor: actorOf(context),
                cause: "Drain requested.",
                before: { slices: row.slices.length },
            });
        }
        const total = rows.reduce((sum, { slices }) => sum + slices.length, 0);
        const followUntil = daemon.now() + DRAIN_FOLLOW_TIMEOUT_MS;
        while (daemon.now() < followUntil && !context.signal.aborted) {
            const remaining = rows.reduce((sum, row) => {
                const present = daemon.replica.get(targetRowKey(row.service, row.target), targetRowSchema);
                return sum + (present?.value.slices.length ?? 0);
            }, 0);
            const done = Math.max(0, total - remaining);
            yield ok({ progress: { scope: name, state: "draining", detail: "", done, total: Math.max(total, done) } });
            if (remaining === 0) {
                yield ok({ result: { detail: `${name} owns no keys any more.` } });
                return;
            }
            await pause(PROGRESS_INTERVAL_MS);
        }
        yield err(operatorError("refused", `${name} still owns keys; the drain goes on.`));
    };

    const drainInstance = async function* (name: string, context: OperatorCallContext): AsyncIterable<Update<"drain">> {
        const member = daemon.replica
            .allMembers()
            .map(({ value }) => value)
            .find(({ instance }) => instance === name);
        if (member === undefined) {
            yield err(operatorError("not-found", `There is no instance ${name}. See \`sassafrasloom instances\`.`));
            return;
        }
        const { incarnation } = member;
        const written = await daemon.writeRow(instanceDrainKey(incarnation), { by: actorOf(context) });
        if (written.isErr()) {
            yield err(platformFailure(written.error));
            return;
        }
        audit.append({
            action: "drain",
            subject: `instance/${name}`,
            actor: actorOf(context),
            cause: "Drain requested.",
            before: { incarnation },
        });
        const dispatched = () =>
            daemon.replica.allTargets().filter(({ value }) => value.dispatcher === incarnation).length;
        const total = dispatched();
        while (!context.signal.aborted) {
            const left = dispatched();
            const state = daemon.membership.isMember(incarnation) ? "leaving" : "left";
            yield ok({ progress: { scope: name, state, detail: "", done: Math.max(0, total - left), total } });
            if (state === "left") {
                yield ok({ result: { detail: `${name} has left; its process ends by itself.` } });
                return;
            }
            await pause(PROGRESS_INTERVAL_MS);
        }
    };

    return {
        quarantineClear: async ({ fingerprint, all }, context) => {
            const matching = daemon.quarantine.records().filter(record => all || record.fingerprint === fingerprint);
            if (!all && matching.length === 0) {
                const remedy = "See `sassafrasloom quarantine list`; others may have cleared it, or it has expired.";
                return err(operatorError("not-found", `No such fingerprint is suspected or convicted. ${remedy}`));
            }
            for (const record of matching) {
                daemon.quarantine.pardon(record.fingerprint);
                audit.append({
                    action: "quarantine",
                    subject: record.fingerprint,
                    actor: actorOf(context),
                    cause: "Cleared by an operator.",
                    before: { convictedAtMs: record.convictedAtMs },
                });
            }
            return ok({ cleared: matching.length });
        },
        bundleRoll,
        drain: ({ subject, name, service }, context) =>
            subject === "target" ? drainTarget(name, service, context) : drainInstance(name, context),
        domainEvacuate: async ({ domain, statement }, context) => {
            // All grants and deadlines that the domain issued before the statement must have expired.
            await pause(daemon.maxAuthorityMs());
            const record = (after: object) =>
                audit.append({
                    action: "evacuation",
                    subject: evacuationRowKey(domain),
                    actor: actorOf(context),
                    cause: statement,
                    after,
                });
            const moved = await evacuateDomain({
                domain,
                by: actorOf(context),
                statement,
                services: daemon.services(),
                replica: daemon.replica,
                membership: daemon.membership,
                transact: (conditions, writes) => daemon.table.transact(conditions, writes),
                isReachable: incarnation => daemon.isReachable(incarnation),
                isDomainReachable: name => daemon.isDomainReachable(name),
                committed: rows => daemon.applyRows(rows),
                serviceMoved: (service, after) => record({ service, ...after }),
            });
            if (moved.isErr() && moved.error.type === "result-unknown") {
                record({ result: "unknown" });
            }
            return moved.mapErr(describeEvacuationError);
        },
    };
};
