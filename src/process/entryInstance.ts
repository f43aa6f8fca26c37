import { createPublicKey, type KeyObject } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { createTransportCredentials } from "../connection/transportSecurity.js";
import { auditedChange } from "./audit/auditedChange.js";
import { AUDIT_PRUNE_PERIOD_MS, AuditRetention } from "./audit/auditRetention.js";
import { AuditTrail } from "./audit/auditTrail.js";
import { createChangeOperations } from "./operators/changeOperations.js";
import { ControlCost } from "./observability/controlCost.js";
import { repeat, systemClock } from "./runtime/clock.js";
import { Daemon, type DaemonOptions } from "./daemon.js";
import { DaemonMetrics } from "./daemonMetrics.js";
import { DisposableStore } from "./runtime/disposableStore.js";
import { instanceOptions } from "./instanceOptions.js";
import { createLoggers } from "./observability/logger.js";
import { Metrics, SUMMARY_WINDOW_MS } from "./observability/metrics.js";
import { startMetricsServer } from "./observability/metricsServer.js";
import { OperatorAuthentication } from "./operators/operatorAuthentication.js";
import { startOperatorServer } from "./operators/operatorServer.js";
import { createReadOperations } from "./operators/readOperations.js";
import type { Settings } from "./settings/settings.js";

/** Timeout for writing the last audit records on shutdown, in milliseconds. */
const AUDIT_CLOSE_TIMEOUT_MS = 2_000;
/** Prefix of a raw Ed25519 public key in DER encoding (SPKI), which Node reads. */
const ED25519_DER_PREFIX = Buffer.from("302a300506032b6570032100", "hex");

/** Reason why an entry instance couldn't be started. */
export interface EntryStartError {
    type: "start-failed";
    detail: string;
}

/** A running entry instance with the addresses it listens on. */
export interface EntryInstance {
    listening: { callers: string; peers: string; operators: string; metrics: string };
    /** Resolves when the instance has shut down, after a signal or an operator's drain. */
    ended: Promise<void>;
    shutDown(): Promise<void>;
}

const publicKeyOf = (base64: string | undefined): KeyObject | undefined =>
    base64 === undefined
        ? undefined
        : createPublicKey({
              key: Buffer.concat([ED25519_DER_PREFIX, Buffer.from(base64, "base64")]),
              format: "der",
              type: "spki",
          });

const startError = (detail: string): EntryStartError => ({ type: "start-failed", detail });

/**
 * Starts an entry instance from validated settings: the daemon, the operator interface, the metrics endpoint and the
 * audit trail.
 *
 * @example
 * const entry = await startEntryInstance(settings);
 * process.once("SIGTERM", () => void entry._unsafeUnwrap().shutDown());
 */
export const startEntryInstance = async (settings: Settings): Promise<Result<EntryInstance, EntryStartError>> => {
    const clock = systemClock;
    const {
        daemon: daemonOptions,
        security,
        log,
        auditBufferRecords,
        auditRetentionMs,
        ...addresses
    } = instanceOptions(settings);
    const { instance, domain, signers } = daemonOptions;
    const loggers = createLoggers({ instance, ...log });
    const store = new DisposableStore();
    const transport = (interfaceName: string, logger: ReturnType<typeof loggers>) =>
        createTransportCredentials({ interfaceName, security, clock, logger });
    const peers = transport("peers", loggers("peers"));
    const operators = transport("operators", loggers("operators"));
    if (peers.isErr() || operators.isErr()) {
        const error = peers.isErr() ? peers.error : operators._unsafeUnwrapErr();
        return err(startError(`${error.file}: ${error.detail}`));
    }
    store.add(peers.value);
    store.add(operators.value);
    const metrics = new Metrics();
    const cost = new ControlCost({ metrics, clock });
    const observer = new DaemonMetrics(metrics, cost);
    let resolveEnded: () => void = () => undefined;
    const ended = new Promise<void>(resolve => {
        resolveEnded = resolve;
    });
    let shutDown: () => Promise<void> = async () => undefined;
    const options: DaemonOptions = {
        ...daemonOptions,
        peerCredentials: peers.value,
        clock,
        loggers,
        random: Math.random,
        audited: change => {
            audit.append(auditedChange(instance, change));
            observer.changed(change);
        },
        observer,
        controlWork: work => cost.measure(work),
        drainRequested: () => void shutDown(),
    };
    const daemon = new Daemon(options);
    const audit = new AuditTrail({
        chain: { domain, instance, incarnation: daemon.membership.identity().incarnation },
        clock,
        logger: loggers("audit"),
        write: (conditions, writes) => daemon.table.transact(conditions, writes),
        bufferRecords: auditBufferRecords,
    });
    const retention = new AuditRetention({
        clock,
        logger: loggers("audit"),
        trail: audit,
        read: (prefix, after, limit) => daemon.table.page(prefix, after, limit),
        write: (conditions, writes) => daemon.table.transact(conditions, writes),
        domain,
        instance,
        retentionMs: auditRetentionMs,
        isFirst: () => daemon.membership.isFirstCandidate(),
        registered: () => new Set(daemon.replica.members(domain).map(({ value }) => value.instance)),
    });
    store.add(repeat(clock, AUDIT_PRUNE_PERIOD_MS, () => void retention.run()));
    observer.collectFrom(daemon, audit);
    store.add(repeat(clock, SUMMARY_WINDOW_MS, () => metrics.rotate()));
    const started = await daemon.start();
    if (started.isErr()) {
        await store.dispose();
        return err(startError(`Can't listen on ${started.error.address}: ${started.error.detail}.`));
    }
    const { incarnation } = daemon.membership.identity();
    const operatorServer = await startOperatorServer({
        address: addresses.operators,
        instance,
        domain,
        incarnation,
        credentials: operators.value.server,
        authentication: new OperatorAuthentication({
            clock,
            instance,
            incarnation,
            signerKey: signer => publicKeyOf(signers[signer]),
        }),
        anonymousReads: false,
        handlers: { ...createReadOperations(daemon, metrics), ...createChangeOperations(daemon, audit) },
        logger: loggers("operators"),
    });
    const metricsServer = await startMetricsServer({ ...addresses.metrics, metrics });
    if (operatorServer.isErr() || metricsServer.isErr()) {
        const error = operatorServer.isErr() ? operatorServer.error : metricsServer._unsafeUnwrapErr();
        await daemon.dispose();
        await store.dispose();
        return err(startError(`Can't listen on ${error.address}: ${error.detail}.`));
    }
    store.add(operatorServer.value);
    store.add(metricsServer.value);
    let shutdown: Promise<void> | undefined;
    shutDown = () => {
        shutdown ??= (async () => {
            await daemon.shutDown(async () => {
                await audit.close(AUDIT_CLOSE_TIMEOUT_MS);
            });
            await store.dispose();
            resolveEnded();
        })();
        return shutdown;
    };
    const operatorHost = addresses.operators.slice(0, addresses.operators.lastIndexOf(":"));
    return ok({
        listening: {
            ...started.value,
            operators: `${operatorHost}:${operatorServer.value.port}`,
            metrics: `${addresses.metrics.host}:${metricsServer.value.port}`,
        },
        ended,
        shutDown,
    });
};
