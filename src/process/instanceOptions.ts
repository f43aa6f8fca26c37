import type { TransportSecurity } from "../connection/transportSecurity.js";
import { DEFAULT_BALANCER_NOTICE_MS, type DaemonOptions, type ListenAddress } from "./daemon.js";
import { DEFAULT_LAYOUT_STABLE_MS } from "./ownership/serviceLayout.js";
import { parseAddress, type Settings } from "./settings/settings.js";

/** Options that an entry instance takes from its settings. Times are in milliseconds. */
export interface InstanceOptions {
    daemon: Pick<
        DaemonOptions,
        "instance" | "domain" | "listen" | "advertisedPeerAddress" | "platform" | "timing" | "limits" | "signers"
    >;
    /** Transport security of the peer and operator addresses. */
    security: TransportSecurity;
    /** Address of the operator interface; an IPv6 address is in brackets. */
    operators: string;
    metrics: ListenAddress;
    log: Settings["log"];
    /** Maximum number of audit records buffered while the platform is down. */
    auditBufferRecords: number;
    /** Age from which audit records are removed from the table, in milliseconds. */
    auditRetentionMs: number;
}

const listenAddress = (text: string): ListenAddress => parseAddress(text) ?? { host: text, port: 0 };

const securityOf = ({ mode, authority, certificate, key }: Settings["tls"]): TransportSecurity =>
    mode === "mutual"
        ? {
              type: "mutual-tls",
              caFile: authority ?? "",
              certificateFile: certificate ?? "",
              privateKeyFile: key ?? "",
          }
        : { type: "plain" };

const timingOf = (timing: Settings["timing"]): DaemonOptions["timing"] => ({
    heartbeatMs: timing.heartbeatMs,
    suspicionMs: timing.suspicionMs,
    minorityWaitMs: timing.minorityDelayMs,
    promiseMs: timing.promiseMs,
    pollMs: timing.pollMs,
    fallbackPollMs: timing.fallbackPollMs,
    instanceListPollMs: timing.instanceListPollMs,
    grantTtlMs: timing.grantTtlMs,
    grantPeriodMs: timing.grantPeriodMs,
    grantMarginMs: timing.grantMarginMs,
    probePeriodMs: timing.probePeriodMs,
    probeTimeoutMs: timing.probeTimeoutMs,
    targetSilenceMs: timing.targetSilenceMs,
    refusalGapMs: timing.refusalGapMs,
    lateAnswerMs: timing.lateAnswerMs,
    pingMs: timing.pingMs,
    pingTimeoutMs: timing.pingTimeoutMs,
    quarantineMs: timing.quarantineMs,
    layoutStableMs: DEFAULT_LAYOUT_STABLE_MS,
    balancerNoticeMs: DEFAULT_BALANCER_NOTICE_MS,
});

const limitsOf = (limits: Settings["limits"]): DaemonOptions["limits"] => ({
    bodyBytes: limits.maxBodyBytes,
    headerBytes: limits.maxHeaderBytes,
    movesPerMinute: limits.movesPerMinute,
    movesInParallel: limits.movesInParallel,
    retryShare: limits.retryPercent / 100,
    streamWindowBytes: limits.streamWindowBytes,
    queueLength: limits.queueLength,
    callerConnections: limits.callerConnections,
    connectionsPerTarget: limits.connectionsPerTarget,
});

/**
 * Builds the options of an entry instance from its settings. Each field is copied by name, because copying a whole
 * section would hide a field that nothing reads.
 *
 * @example
 * const { daemon, security } = instanceOptions(settings);
 */
export const instanceOptions = ({
    instance,
    listen,
    platform,
    timing,
    limits,
    tls,
    signers,
    log,
}: Settings): InstanceOptions => ({
    daemon: {
        instance: instance.name,
        domain: instance.domain,
        listen: { callers: listenAddress(listen.callers), peers: listenAddress(listen.peers) },
        advertisedPeerAddress: listen.peersAdvertised,
        platform: {
            tableUrl: platform.table,
            objectsUrl: platform.objects,
            instancesUrl: platform.instances,
            tableTimeoutMs: platform.tableTimeoutMs,
            objectTimeoutMs: platform.objectTimeoutMs,
            instanceListTimeoutMs: platform.instanceListTimeoutMs,
        },
        timing: timingOf(timing),
        limits: limitsOf(limits),
        signers,
    },
    security: securityOf(tls),
    operators: listen.operators,
    metrics: listenAddress(listen.metrics),
    log: { level: log.level, format: log.format },
    auditBufferRecords: limits.auditBufferLength,
    auditRetentionMs: timing.auditRetentionMs,
});
