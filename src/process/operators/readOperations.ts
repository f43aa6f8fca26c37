import { err, ok, type Result } from "neverthrow";
import type { OperatorReply } from "../../connection/operatorCalls.js";
import { operatorError, type OperatorError } from "../../connection/operatorError.js";
import { positionOf } from "../../request/position.js";
import { readAuditPage, verifyAuditTrail } from "../audit/auditReader.js";
import { bundleHistory } from "../bundles/bundleRollout.js";
import { bundleStatus } from "../bundles/bundleRows.js";
import type { Daemon } from "../daemon.js";
import type { Metrics } from "../observability/metrics.js";
import type { OperatorHandlers } from "./operatorHandlers.js";
import type { PlatformError } from "../store/platformError.js";
import { targetRowKey, type TargetRow } from "../store/rows.js";
import { RING_SIZE, slicesSize } from "../ownership/sliceMap.js";

/** Time without a reply after which the platform is reported as down, in milliseconds. */
const PLATFORM_DOWN_MS = 10_000;

const platformFailure = (error: PlatformError): OperatorError => operatorError("platform-unavailable", error.detail);

const ownerOf = (
    daemon: Daemon,
    service: string,
    key: string,
): OperatorReply<"owner">["owners"][number] | undefined => {
    const position = positionOf(service, key);
    const row = daemon.replica.sliceMap(service).ownerOf(position);
    if (row === undefined) {
        return undefined;
    }
    const dispatcher = daemon.dispatchers.get(targetRowKey(service, row.target));
    const { target, domain, address, term, state } = row;
    const inPlace = dispatcher === undefined ? undefined : dispatcher.isReady && dispatcher.keeper.covers(position);
    return { service, position, target, domain, address, dispatcher: row.dispatcher, term, state, inPlace };
};

const describeTarget = (daemon: Daemon, row: TargetRow): OperatorReply<"targets">["targets"][number] => {
    const dispatcher = daemon.dispatchers.get(targetRowKey(row.service, row.target));
    const snapshot = dispatcher?.scheduler.snapshot();
    const { service, target, domain, address, state, term } = row;
    return {
        service,
        target,
        domain,
        address,
        state,
        dispatcher: row.dispatcher,
        term,
        slices: row.slices.length,
        share: slicesSize(row.slices) / RING_SIZE,
        limit: snapshot?.limit,
        inFlight: snapshot?.inFlight,
        queued: snapshot?.queued,
        load: dispatcher?.report?.load,
    };
};

const describeInstances = (daemon: Daemon, domain: string | undefined): OperatorReply<"instances">["instances"] => {
    const targets = daemon.replica.allTargets().map(({ value }) => value);
    const self = daemon.membership.identity().incarnation;
    return daemon.replica
        .allMembers()
        .map(({ value }) => value)
        .filter(member => domain === undefined || member.domain === domain)
        .map(({ instance, domain: home, incarnation, peerAddress, state }) => {
            const silence = incarnation === self ? 0 : daemon.peers.silenceMs(incarnation);
            return {
                instance,
                domain: home,
                incarnation,
                peerAddress,
                state,
                dispatches: targets.filter(row => row.dispatcher === incarnation).length,
                bundleVersion: daemon.bundleVersionOf(incarnation),
                silenceMs: silence === undefined ? undefined : Math.round(silence),
            };
        });
};

const describeBundles = (daemon: Daemon): OperatorReply<"bundleStatus"> => {
    const { current, offer, domains } = bundleStatus(daemon.replica);
    const versionOf = (row: typeof current | typeof offer, state: string) =>
        row === undefined ? undefined : { version: row.version, digest: row.digest, state, author: row.author };
    return {
        current: versionOf(current, "accepted"),
        offer: versionOf(offer, "offered"),
        domains: Object.entries(domains).map(([domain, { decision }]) => {
            const versions = daemon.replica
                .members(domain)
                .map(({ value }) => daemon.bundleVersionOf(value.incarnation))
                .filter(version => version !== undefined);
            return {
                domain,
                confirmed: decision === "confirmed" ? (offer?.version ?? 0) : (current?.version ?? 0),
                // The lowest version that is known to be in force at a member.
                inForce: versions.length === 0 ? 0 : Math.min(...versions),
                reachable: domain === daemon.domain || daemon.isDomainReachable(domain),
            };
        }),
    };
};

const describeQuarantine = (daemon: Daemon): OperatorReply<"quarantineList">["entries"] =>
    daemon.quarantine.records().flatMap(({ fingerprint, convictedAtMs, targets = [] }) => {
        const state = daemon.quarantine.stateOf(fingerprint);
        if (state === "clear") {
            return [];
        }
        const until = daemon.quarantine.convictedUntil(fingerprint);
        const keyParts = targets.map(key => key.split("/"));
        const crashed = keyParts.length > 0 ? ` Crashed: ${keyParts.map(([, , name]) => name).join(", ")}.` : "";
        const consequence = state === "convicted" ? "Refused as not run." : "Runs alone among suspects.";
        return [
            {
                fingerprint,
                service: [...new Set(keyParts.map(([, service]) => service))].join(", "),
                state,
                crashes: convictedAtMs > 0 ? 2 : 1,
                until,
                detail: `${consequence}${crashed}`,
            },
        ];
    });

const describeStatus = (daemon: Daemon): OperatorReply<"status"> => {
    const { membership, lease, table } = daemon;
    const { instance, domain, incarnation } = membership.identity();
    const silence = table.silenceMs();
    const leaseMs = Math.min(lease.validUntil() - daemon.now(), Number.MAX_SAFE_INTEGER);
    const platform = silence === undefined ? "unknown" : silence < PLATFORM_DOWN_MS ? "up" : "down";
    const warnings: string[] = [];
    if (platform === "down") {
        warnings.push("The platform doesn't answer: nothing can be taken over or moved.");
    }
    if (leaseMs <= 0) {
        warnings.push("The domain lease has lapsed: targets that don't check grants get no requests.");
    }
    if (daemon.bundleVersion() === 0) {
        warnings.push("No bundle is in force: every request is refused.");
    }
    return {
        instance,
        domain,
        incarnation,
        state: membership.isActive() ? "active" : membership.isRegistered() ? "joining" : "unregistered",
        uptimeMs: Math.round(daemon.uptimeMs()),
        platform,
        platformSilenceMs: silence === undefined ? undefined : Math.round(silence),
        leaseMs: Math.max(0, Math.round(leaseMs)),
        bundleVersion: daemon.bundleVersion(),
        members: membership.members().length,
        reachableMembers: membership.reachableMembers().length,
        dispatches: daemon.dispatchers.all().length,
        warnings,
    };
};

/** Read-only operator calls. */
export type ReadOperations = Pick<
    OperatorHandlers,
    | "owner"
    | "targets"
    | "instances"
    | "moves"
    | "quarantineList"
    | "auditRead"
    | "auditVerify"
    | "bundleStatus"
    | "bundleHistory"
    | "status"
    | "metrics"
>;

/**
 * Creates the handlers of read-only operator calls, which answer from the state of a daemon.
 *
 * @example
 * const handlers = { ...createReadOperations(daemon, metrics), ...createChangeOperations(daemon, audit) };
 */
export const createReadOperations = (daemon: Daemon, metrics: Metrics): ReadOperations => {
    const replyWith = async <Value>(value: Value): Promise<Result<Value, OperatorError>> => ok(value);
    const unknownService = async (service: string): Promise<Result<never, OperatorError>> =>
        err(
            operatorError(
                "not-found",
                `The bundle in force has no service ${service}. It has: ${daemon
                    .services()
                    .map(({ name }) => name)
                    .join(", ")}.`,
            ),
        );
    const knowsDomain = (domain: string) =>
        domain === daemon.domain ||
        [...daemon.replica.allMembers(), ...daemon.replica.allTargets()].some(({ value }) => value.domain === domain);
    const unknownDomain = async (domain: string): Promise<Result<never, OperatorError>> =>
        err(
            operatorError(
                "not-found",
                `No instance and no target of ${domain} is known. See \`sassafrasloom instances\`.`,
            ),
        );
    const readPage = (prefix: string, after: string, limit: number) => daemon.table.page(prefix, after, limit);
    return {
        owner: ({ key, service }) => {
            const services = daemon.services().filter(({ name }) => service === undefined || name === service);
            if (service !== undefined && services.length === 0) {
                return unknownService(service);
            }
            const owners = services.map(({ name }) => ownerOf(daemon, name, key)).filter(owner => owner !== undefined);
            return replyWith({ owners });
        },
        targets: ({ service, domain }) => {
            if (service !== undefined && !daemon.services().some(({ name }) => name === service)) {
                return unknownService(service);
            }
            if (domain !== undefined && !knowsDomain(domain)) {
                return unknownDomain(domain);
            }
            const rows = daemon.replica
                .allTargets()
                .map(({ value }) => value)
                .filter(row => service === undefined || row.service === service)
                .filter(row => domain === undefined || row.domain === domain);
            return replyWith({ targets: rows.map(row => describeTarget(daemon, row)) });
        },
        instances: ({ domain }) =>
            domain === undefined || knowsDomain(domain)
                ? replyWith({ instances: describeInstances(daemon, domain) })
                : unknownDomain(domain),
        moves: () => replyWith({ moves: daemon.ownership.recentMoves() }),
        quarantineList: () => replyWith({ entries: describeQuarantine(daemon) }),
        auditRead: async ({ domain, instance, after, limit }) => {
            const page = await readAuditPage(readPage, { domain, instance }, after ?? "", limit);
            return page
                .map(({ records, next }) => ({
                    next,
                    entries: records.map(({ key, record }) => ({
                        key,
                        ...record,
                        before: record.before === "" ? undefined : record.before,
                        after: record.after === "" ? undefined : record.after,
                    })),
                }))
                .mapErr(platformFailure);
        },
        auditVerify: async selection => {
            const reports = await verifyAuditTrail(readPage, selection);
            // Each running instance has a chain. Without this error, a mistyped name would look like a valid trail.
            if (reports.isOk() && reports.value.length === 0) {
                const where = [selection.domain, selection.instance].filter(part => part !== undefined).join("/");
                return err(operatorError("not-found", `The audit trail has no chain of ${where || "any instance"}.`));
            }
            return reports
                .map(chains => ({ chains: chains.map(({ chain, ...report }) => ({ ...chain, ...report })) }))
                .mapErr(platformFailure);
        },
        bundleStatus: () => replyWith(describeBundles(daemon)),
        bundleHistory: async ({ limit }) => {
            const history = await bundleHistory(daemon.table);
            return history
                .map(rows => ({
                    bundles: rows.slice(0, limit).map(({ version, digest, author, acceptedAtMs }) => ({
                        version,
                        digest,
                        state: "accepted",
                        author,
                        at: acceptedAtMs,
                    })),
                }))
                .mapErr(platformFailure);
        },
        status: () => replyWith(describeStatus(daemon)),
        metrics: () =>
            replyWith({
                samples: metrics
                    .read()
                    .flatMap(family => family.samples.map(({ name, labels, value }) => ({ name, labels, value }))),
            }),
    };
};
