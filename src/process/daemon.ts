import { Server, type ChannelCredentials, type ServerCredentials, type ServerDuplexStream } from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { createCallerServer, type CallerServer } from "../connection/callerServer.js";
import { serveControlStream } from "../connection/controlServer.js";
import { serveForwardStream } from "../connection/forwardServer.js";
import {
    peerChannelOptions,
    peerService,
    type ControlBatch,
    type FrameBatch,
    type Pings,
} from "../connection/peerProtocol.js";
import type { BundleService } from "../version/bundle.js";
import { RequestKinds } from "../version/requestKinds.js";
import type { Signers } from "../version/signature.js";
import type { DaemonChange } from "./audit/auditedChange.js";
import { BundleKeeper } from "./bundles/bundleKeeper.js";
import { CallerRequests } from "./callerRequests.js";
import { repeat, type Clock } from "./runtime/clock.js";
import { CoarseClock, DEFAULT_COARSE_TICK_MS } from "./runtime/coarseClock.js";
import { confirmsRelease } from "./ownership/confirmsRelease.js";
import {
    createControlHandler,
    type TargetHandOver,
    type ControlHandlerOptions,
    type NoteHandler,
} from "./membership/controlHandler.js";
import type { RequestObserver } from "./observability/requestObserver.js";
import { movedLoadSchema } from "./balance/dispatchedLoad.js";
import { Dispatchers } from "./dispatch/dispatchers.js";
import { isInstanceDrainRequested, isTargetDrainRequested } from "./ownership/drainRequests.js";
import { endedRunSchema, type EndedRun } from "./membership/earlierRuns.js";
import { DisposableStore } from "./runtime/disposableStore.js";
import { DomainLease } from "./membership/domainLease.js";
import { InstanceList } from "./store/instanceList.js";
import { ListRelay } from "./membership/listRelay.js";
import type { Logger, LogPart } from "./observability/logger.js";
import { Membership } from "./membership/membership.js";
import { Ownership } from "./ownership/ownership.js";
import { parseJson } from "./runtime/parseJson.js";
import { Peers } from "./membership/peers.js";
import { PlatformObjects } from "./store/platformObjects.js";
import { PlatformTable } from "./store/platformTable.js";
import { Quarantine, quarantineRecordSchema } from "./dispatch/quarantine.js";
import { Rebalancer } from "./balance/rebalancer.js";
import { RequestRouter } from "./requestRouter.js";
import { RetryBudget } from "./dispatch/retryBudget.js";
import type { PlatformError } from "./store/platformError.js";
import { targetRowKey, targetRowSchema, type VersionedRow } from "./store/rows.js";
import { RunningTime } from "./runtime/runningTime.js";
import { ServiceLayout } from "./ownership/serviceLayout.js";
import { handOverName, type RecordHandOver } from "./records/recordHandOver.js";
import { ServiceRecords } from "./records/serviceRecords.js";
import { DEFAULT_DRAIN_LIMIT_MS, SliceTransfer } from "./ownership/sliceTransfer.js";
import { TablePoller } from "./store/tablePoller.js";
import { TableReplica } from "./store/tableReplica.js";

/** Interval of ownership checks, in milliseconds. */
const OWNERSHIP_TICK_MS = 50;
/** Interval at which the dispatchers check the lease, in milliseconds. It is also checked on each send. */
const LEASE_TICK_MS = 50;
/** Ticks of the coarse clock per grant period. Rounding to ticks thus changes the period by a twelfth at most. */
const TICKS_PER_GRANT_PERIOD = 6;
/** Interval of load balance checks, in milliseconds. */
const REBALANCE_TICK_MS = 250;
/** Interval of membership, polling and layout checks, in milliseconds. */
const MEMBERSHIP_TICK_MS = 100;
/** Time for which the load balancer's check fails before an instance stops accepting connections, in milliseconds. */
export const DEFAULT_BALANCER_NOTICE_MS = 1_000;
/** Maximum duration of a graceful shutdown, in milliseconds. */
export const DEFAULT_SHUTDOWN_TIMEOUT_MS = 600_000;
/** Timeout of a peer's reply with the content of a bundle, in milliseconds. */
const BUNDLE_FETCH_TIMEOUT_MS = 1_000;

/** Address to listen on. With port 0, the operating system chooses a port. */
export interface ListenAddress {
    host: string;
    port: number;
}

/** Options of a daemon. Times are in milliseconds. */
export interface DaemonOptions {
    instance: string;
    domain: string;
    listen: { callers: ListenAddress; peers: ListenAddress };
    /** Address that peers connect to, if it differs from the one listened on. */
    advertisedPeerAddress: string | undefined;
    platform: {
        tableUrl: string;
        objectsUrl: string;
        instancesUrl: string;
        tableTimeoutMs: number;
        objectTimeoutMs: number;
        instanceListTimeoutMs: number;
    };
    timing: {
        heartbeatMs: number;
        suspicionMs: number;
        minorityWaitMs: number;
        promiseMs: number;
        pollMs: number;
        fallbackPollMs: number;
        grantTtlMs: number;
        grantPeriodMs: number;
        grantMarginMs: number;
        instanceListPollMs: number;
        probePeriodMs: number;
        probeTimeoutMs: number;
        targetSilenceMs: number;
        refusalGapMs: number;
        lateAnswerMs: number;
        pingMs: number;
        pingTimeoutMs: number;
        /** Time for which a convicted request is refused. */
        quarantineMs: number;
        layoutStableMs: number;
        balancerNoticeMs: number;
    };
    limits: {
        bodyBytes: number;
        headerBytes: number;
        movesPerMinute: number;
        movesInParallel: number;
        retryShare: number;
        streamWindowBytes: number;
        queueLength: number;
        callerConnections: number;
        connectionsPerTarget: number;
    };
    signers: Signers;
    peerCredentials: { client: ChannelCredentials; server: ServerCredentials };
    clock: Clock;
    loggers: (part: LogPart) => Logger;
    /** Random numbers in [0, 1). */
    random: () => number;
    /** Called with each change that the audit trail records. */
    audited: (change: DaemonChange) => void;
    /** Called when an operator has requested a graceful shutdown of this instance. */
    drainRequested: () => void;
    /** Notified of each completed request, for the metrics. */
    observer: RequestObserver;
    /** Runs synchronous control work and counts its duration against the control budget. */
    controlWork: <Value>(work: () => Value) => Value;
}

/** Reason why a daemon couldn't be started. */
export type StartError = { type: "listen-failed"; address: string; detail: string };

/**
 * An entry instance: listens for callers and peers, joins its domain, and dispatches requests to targets.
 *
 * @example
 * const daemon = new Daemon(options);
 * const started = await daemon.start();
 * process.once("SIGTERM", () => void daemon.shutDown());
 */
export class Daemon {
    readonly replica = new TableReplica();
    readonly lease: DomainLease;
    readonly membership: Membership;
    readonly peers: Peers;
    readonly dispatchers: Dispatchers;
    readonly ownership: Ownership;
    readonly table: PlatformTable;
    readonly bundles: BundleKeeper;
    private readonly runningTime: RunningTime;
    readonly quarantine: Quarantine;
    readonly records: ServiceRecords;
    readonly poller: TablePoller;
    readonly rebalancer: Rebalancer;
    readonly objects: PlatformObjects;
    private readonly startedAt: number;
    /** Clock for periodic work that needs no exact timing. */
    private readonly coarseClock: CoarseClock;
    /** Bundle versions by incarnation, as reported by heartbeats. */
    private readonly bundleVersions = new Map<string, number>();
    private readonly instanceList: InstanceList;
    private readonly layout: ServiceLayout;
    private readonly store = new DisposableStore();
    private readonly retryBudgets = new Map<string, RetryBudget>();
    private readonly peerServer: Server;
    private readonly callerServer: CallerServer;
    private readonly controlOptions: ControlHandlerOptions;
    private readonly listRelay: ListRelay;
    private kinds: RequestKinds | undefined;
    /** Number of answers that have ended but have not been fully received by a peer. */
    private undeliveredAnswers = 0;
    private leaving = false;
    private peerAddress = "";
    private readonly callers: CallerRequests;

    constructor(private readonly options: DaemonOptions) {
        const { clock, loggers, timing, platform } = options;
        this.startedAt = clock.monotonicMs();
        this.coarseClock = new CoarseClock(
            clock,
            Math.min(DEFAULT_COARSE_TICK_MS, timing.grantPeriodMs / TICKS_PER_GRANT_PERIOD),
        );
        this.runningTime = new RunningTime(clock, this.coarseClock);
        this.store.add(this.runningTime);
        this.table = new PlatformTable({ url: platform.tableUrl, clock, timeoutMs: platform.tableTimeoutMs });
        this.objects = new PlatformObjects({ url: platform.objectsUrl, timeoutMs: platform.objectTimeoutMs });
        this.instanceList = new InstanceList({ url: platform.instancesUrl, timeoutMs: platform.instanceListTimeoutMs });
        this.lease = new DomainLease(clock, timing.promiseMs);
        this.membership = this.createMembership();
        this.listRelay = new ListRelay({
            membership: this.membership,
            peers: () => this.peers,
            received: listed => this.poller.receiveList(listed),
        });
        this.poller = this.createPoller();
        this.controlOptions = this.createControlOptions();
        this.peers = this.createPeers();
        this.quarantine = new Quarantine({
            clock,
            convictionMs: timing.quarantineMs,
            onChange: records => {
                this.peers.notifyAll("quarantine", records, false);
                records
                    .filter(({ fingerprint }) => this.quarantine.stateOf(fingerprint) === "convicted")
                    .forEach(record => options.audited({ type: "quarantined", record }));
            },
        });
        this.records = new ServiceRecords({
            clock,
            log: loggers("dispatch"),
            transact: (conditions, writes) => this.table.transact(conditions, writes),
            scan: prefix => this.table.scan(prefix),
            heldRow: key => this.heldRow(key),
            serviceOf: name => this.serviceOf(name),
        });
        this.dispatchers = this.createDispatchers();
        this.ownership = this.createOwnership();
        this.rebalancer = new Rebalancer({
            clock,
            log: loggers("moves"),
            replica: this.replica,
            membership: this.membership,
            peers: () => this.peers,
            dispatchers: () => this.dispatchers,
            ownership: () => this.ownership,
            services: () => this.kinds?.bundle.services ?? [],
            movesPerMinute: options.limits.movesPerMinute,
            movesInParallel: options.limits.movesInParallel,
            isEnabled: () => !this.leaving,
        });
        this.layout = new ServiceLayout({
            clock,
            log: loggers("ownership"),
            replica: this.replica,
            membership: this.membership,
            peers: () => this.peers,
            transact: (conditions, writes) => this.table.transact(conditions, writes),
            stableMs: timing.layoutStableMs,
        });
        this.bundles = this.createBundleKeeper();
        this.callers = new CallerRequests({
            instance: options.instance,
            kinds: () => this.kinds,
            routing: this.createRouter(),
            observer: options.observer,
            log: loggers("callers"),
        });
        this.peerServer = this.createPeerServer();
        this.callerServer = createCallerServer({
            answer: (request, response) => this.callers.answer(request, response),
            isServing: () => !this.leaving && this.kinds !== undefined,
            refusedEarly: refusal => this.callers.refusedEarly(refusal),
            bodyLimit: options.limits.bodyBytes,
            headerLimit: options.limits.headerBytes,
            connectionLimit: options.limits.callerConnections,
        });
    }

    /** Starts listening and joining the domain. Returns the addresses listened on. */
    async start(): Promise<Result<{ callers: string; peers: string }, StartError>> {
        const { listen, advertisedPeerAddress, clock, timing } = this.options;
        const peers = await this.listenForPeers();
        if (peers.isErr()) {
            return err(peers.error);
        }
        this.peerAddress = advertisedPeerAddress ?? `${listen.peers.host}:${peers.value}`;
        const callers = await this.listenForCallers();
        if (callers.isErr()) {
            return err(callers.error);
        }
        this.store.add(this.replica.onChange(changed => this.replicaChanged(changed)));
        this.bundles.start();
        this.store.add(this.bundles);
        this.bundles.onChange(({ bundle }) => {
            this.kinds = new RequestKinds(bundle);
            this.dispatchers.sync();
        });
        const { coarseClock } = this;
        this.store.add(repeat(coarseClock, MEMBERSHIP_TICK_MS, () => this.membership.tick()));
        this.store.add(repeat(coarseClock, MEMBERSHIP_TICK_MS, () => this.poller.tick()));
        this.store.add(repeat(coarseClock, MEMBERSHIP_TICK_MS, () => this.applyInstanceList()));
        const { controlWork } = this.options;
        this.store.add(
            repeat(clock, timing.heartbeatMs, () => controlWork(() => this.peers.sendHeartbeats(this.bundleVersion()))),
        );
        this.store.add(repeat(coarseClock, OWNERSHIP_TICK_MS, () => controlWork(() => this.ownership.tick())));
        this.store.add(repeat(coarseClock, REBALANCE_TICK_MS, () => controlWork(() => this.rebalance())));
        this.store.add(repeat(coarseClock, LEASE_TICK_MS, () => controlWork(() => this.dispatchers.tick())));
        this.store.add(repeat(coarseClock, 10_000, () => this.prune()));
        void this.membership.tick();
        void this.poller.tick();
        return ok({ callers: `${listen.callers.host}:${callers.value}`, peers: `${listen.peers.host}:${peers.value}` });
    }

    private prune(): void {
        this.records.prune();
        // Heartbeats of a member may still arrive after its removal, so the entry can't be deleted on that change.
        for (const incarnation of this.bundleVersions.keys()) {
            if (!this.membership.isMember(incarnation)) {
                this.bundleVersions.delete(incarnation);
            }
        }
    }

    private rebalance(): void {
        // The planning members change with the membership, and so do the links that the load reports need.
        this.peers.sync();
        this.rebalancer.tick();
    }

    /** Version of the bundle in force; 0 before the first one. */
    bundleVersion(): number {
        return this.kinds?.bundle.version ?? 0;
    }

    get clock(): Clock {
        return this.options.clock;
    }

    get domain(): string {
        return this.options.domain;
    }

    get signers(): Signers {
        return this.options.signers;
    }

    /** Monotonic time in milliseconds. */
    now(): number {
        return this.options.clock.monotonicMs();
    }

    /** Milliseconds since the daemon was created. */
    uptimeMs(): number {
        return this.now() - this.startedAt;
    }

    /** Services of the bundle in force. */
    services(): readonly BundleService[] {
        return this.kinds?.bundle.services ?? [];
    }

    /** Bundle version that a member last reported; `undefined` for members without a link to this instance. */
    bundleVersionOf(incarnation: string): number | undefined {
        return incarnation === this.membership.identity().incarnation
            ? this.bundleVersion()
            : this.bundleVersions.get(incarnation);
    }

    /** Whether a member responds on its link. */
    isReachable(incarnation: string): boolean {
        const silence = this.peers.silenceMs(incarnation);
        return silence !== undefined && silence <= this.options.timing.suspicionMs;
    }

    /** Time after which no grant or deadline issued by a lost domain can still be valid, in milliseconds. */
    maxAuthorityMs(): number {
        return this.options.timing.promiseMs + this.maxDeadlineCap() + this.options.timing.grantMarginMs;
    }

    /** Number of retries that the budget of a service currently allows. */
    retriesAvailable(service: string): number {
        return this.retryBudget(service).available();
    }

    /** Applies rows that were read or written outside the replica and sends them to peers. */
    applyRows(rows: readonly VersionedRow[]): void {
        this.peers.pushRows(this.replica.apply(rows), false);
    }

    /** Writes one row under the condition that its version is unchanged. */
    async writeRow(key: string, value: Record<string, unknown>): Promise<Result<void, PlatformError>> {
        const condition = { key, version: this.replica.conditionVersion(key) };
        const result = await this.table.transact([condition], [{ key, value }]);
        if (result.isErr()) {
            return err(result.error);
        }
        this.applyRows(result.value.rows);
        return result.value.type === "committed"
            ? ok(undefined)
            : err({ type: "platform-unavailable", detail: "The row was changed by another instance." });
    }

    /**
     * Shuts down gracefully: fails the load balancer's health check, hands the targets over, completes open requests,
     * and leaves the domain. Requests that still arrive in the meantime are served. `beforeLeaving` runs while the
     * platform can still be reached through this instance's clients.
     */
    async shutDown(
        beforeLeaving: () => Promise<void> = () => Promise.resolve(),
        limitMs: number = DEFAULT_SHUTDOWN_TIMEOUT_MS,
    ): Promise<void> {
        if (this.leaving) {
            return;
        }
        this.leaving = true;
        const { clock, loggers, timing } = this.options;
        loggers("daemon").info("Shutting down.", { inFlight: this.callers.open });
        const deadline = clock.monotonicMs() + limitMs;
        await Promise.all([
            this.pause(timing.balancerNoticeMs),
            this.membership.announceLeaving().then(() => this.ownership.handOverAll(Math.min(limitMs, 10_000))),
        ]);
        this.callerServer.stopListening();
        while (this.isBusy() && clock.monotonicMs() < deadline) {
            this.callerServer.closeIdle();
            await this.pause(20);
        }
        await this.membership.leave();
        await beforeLeaving();
        await this.dispose();
        loggers("daemon").info("Shut down.");
    }

    /** Stops immediately. */
    async dispose(): Promise<void> {
        await this.store.dispose();
        this.callerServer.close();
        this.callerServer.closeAllConnections();
        this.dispatchers.dispose();
        this.peers.dispose();
        this.peerServer.forceShutdown();
        await Promise.all([this.table.dispose(), this.objects.dispose(), this.instanceList.dispose()]);
    }

    private isBusy(): boolean {
        return (
            this.callers.open > 0 ||
            this.callerServer.unfinished() > 0 ||
            this.callerServer.closing() > 0 ||
            this.undeliveredAnswers > 0 ||
            this.dispatchers.openRequests() > 0
        );
    }

    private createMembership(): Membership {
        const { options } = this;
        return new Membership({
            instance: options.instance,
            domain: options.domain,
            peerAddress: () => this.peerAddress,
            clock: options.clock,
            table: this.table,
            transact: (conditions, writes) => this.table.transact(conditions, writes),
            replica: this.replica,
            lease: this.lease,
            peers: () => this.peers,
            log: options.loggers("membership"),
            suspicionMs: options.timing.suspicionMs,
            minorityWaitMs: options.timing.minorityWaitMs,
            goneWaitMs: () => options.timing.promiseMs + this.maxDeadlineCap(),
            listedLive: () => this.listedInstances(),
            changed: change => {
                this.peers.sync();
                this.dispatchers.sync();
                options.audited(change);
            },
        });
    }

    private createPoller(): TablePoller {
        const { clock, loggers, timing } = this.options;
        return new TablePoller({
            clock,
            log: loggers("platform"),
            table: this.table,
            readList: () => this.instanceList.read(),
            replica: this.replica,
            isPoller: () => this.membership.candidates().length === 0 || this.membership.isFirstCandidate(),
            changed: rows => this.peers.pushRows(rows, true),
            listChanged: listed => this.listRelay.send(listed),
            pollMs: timing.pollMs,
            listPollMs: timing.instanceListPollMs,
            fallbackPollMs: timing.fallbackPollMs,
        });
    }

    private createControlOptions(): ControlHandlerOptions {
        const notes = new Map<string, NoteHandler>([
            ["listed", payload => this.listRelay.receiveDirect(payload)],
            ["listed-from", payload => this.listRelay.receiveRelayed(payload)],
            ["observed-lapse", payload => String(this.membership.confirmsObservedLapse(String(parseJson(payload))))],
            ["known-member", payload => String(this.membership.isMember(String(parseJson(payload))))],
            ["quarantine", payload => this.receiveQuarantine(payload)],
            ["run-ended", payload => this.receiveEndedRun(payload)],
            ["load", payload => this.rebalancer.handleLoadReport(payload)],
            ["moves", payload => this.rebalancer.handlePlannedMoves(payload)],
            ["moved-load", payload => this.receiveLoad(payload)],
            [
                "released",
                payload =>
                    String(
                        confirmsRelease(payload, {
                            incarnation: this.membership.identity().incarnation,
                            rowVersion: key => this.replica.row(key)?.version ?? 0,
                            isDispatching: key => this.dispatchers.get(key) !== undefined,
                        }),
                    ),
            ],
            ["bundle-content", payload => this.bundles.content(payload)?.toString("base64") ?? ""],
        ]);
        return {
            replica: this.replica,
            lease: this.lease,
            membership: this.membership,
            domain: this.options.domain,
            now: () => this.options.clock.monotonicMs(),
            completeRevision: () => this.poller.completeRevision(),
            relayRows: rows => this.peers.pushRows(rows, true),
            isLargeDomain: () => this.membership.isLarge(),
            streamOpened: (incarnation, send) => this.peers.streamOpened(incarnation, send),
            heartbeatReceived: (incarnation, countsReceiver) =>
                this.peers.heartbeatReceived(incarnation, countsReceiver),
            heartbeatAnswered: (incarnation, sequence, promiseMs) => {
                this.peers.replyReceived(incarnation);
                this.lease.promiseReceived(incarnation, sequence, promiseMs);
            },
            importRecords: (handOver, target) => this.importRecords(handOver, target),
            bundleVersionReceived: (incarnation, version) => this.bundleVersions.set(incarnation, version),
            notes,
        };
    }

    private pings(): Pings {
        const { pingMs, pingTimeoutMs } = this.options.timing;
        return { periodMs: pingMs, timeoutMs: pingTimeoutMs };
    }

    private createPeers(): Peers {
        const { clock, peerCredentials, timing } = this.options;
        return new Peers({
            clock,
            runningMs: () => this.runningTime.ms(),
            channel: { credentials: peerCredentials.client, options: peerChannelOptions(this.pings()) },
            replica: this.replica,
            lease: this.lease,
            identity: () => this.membership.identity(),
            completeRevision: () => this.poller.completeRevision(),
            unconfirmedSubjects: () => this.membership.unconfirmedSubjects(),
            additionalLinks: () => [...this.rebalancer.planners(), ...this.rebalancer.reporters()],
            reconnectSilenceMs: timing.suspicionMs * 0.55,
            handlerFor: peer => createControlHandler(this.controlOptions, peer),
        });
    }

    private createDispatchers(): Dispatchers {
        const { clock, loggers } = this.options;
        return new Dispatchers({
            replica: this.replica,
            records: this.records,
            serviceOf: name => this.serviceOf(name),
            takenFrom: (key, term) => this.ownership.formerDispatcherOf(key, term),
            services: {
                clock,
                coarse: this.coarseClock,
                runningMs: () => this.runningTime.ms(),
                log: loggers("dispatch"),
                replica: this.replica,
                timing: this.options.timing,
                limits: this.options.limits,
                incarnation: () => this.membership.identity().incarnation,
                leaseUntil: () => this.lease.validUntil(),
                grantsUntil: () =>
                    this.membership.isLarge()
                        ? this.lease.validUntil()
                        : Math.max(this.lease.validUntil(), this.lease.majorityUntil()),
                records: () => this.records,
                quarantine: this.quarantine,
                retryBudget: service => this.retryBudget(service),
                headOfLineDelay: (service, delayMs) => this.options.observer.headOfLineDelay(service, delayMs),
                runEndedAfterHandOver: ended => this.notifyEndedRun(ended),
                targetLost: (dispatcher, loss) => this.ownership.targetLost(dispatcher, loss),
                targetDraining: dispatcher => this.ownership.targetDraining(dispatcher),
            },
        });
    }

    private createOwnership(): Ownership {
        const { clock, loggers, timing, audited } = this.options;
        const transfer = new SliceTransfer({
            clock,
            log: loggers("moves"),
            replica: this.replica,
            membership: this.membership,
            peers: () => this.peers,
            transact: (conditions, writes) => this.table.transact(conditions, writes),
            records: this.records,
            drainLimitMs: DEFAULT_DRAIN_LIMIT_MS,
        });
        return new Ownership({
            clock,
            log: loggers("ownership"),
            replica: this.replica,
            membership: this.membership,
            lease: this.lease,
            peers: () => this.peers,
            dispatchers: () => this.dispatchers,
            transact: (conditions, writes) => this.table.transact(conditions, writes),
            transfer,
            records: this.records,
            serviceOf: name => this.serviceOf(name),
            promiseMs: timing.promiseMs,
            fallbackPollMs: timing.fallbackPollMs,
            grantTtlMs: timing.grantTtlMs,
            grantMarginMs: timing.grantMarginMs,
            changed: audited,
            takenOver: (kind, elapsedMs) => this.options.observer.takenOver(kind, elapsedMs),
        });
    }

    private createBundleKeeper(): BundleKeeper {
        const { instance, domain, clock, loggers, signers } = this.options;
        return new BundleKeeper({
            instance,
            domain,
            replica: this.replica,
            table: this.table,
            objects: this.objects,
            signers,
            clock,
            logger: loggers("bundles"),
            fetchFromPeers: digest => this.fetchBundle(digest),
        });
    }

    private async *fetchBundle(digest: string): AsyncIterable<Buffer> {
        for (const { value } of this.replica.allMembers()) {
            const link = this.peers.controlLink(value.incarnation);
            const answer = await link?.askText("bundle-content", digest, BUNDLE_FETCH_TIMEOUT_MS);
            if (answer !== undefined && answer !== "") {
                yield Buffer.from(answer, "base64");
            }
        }
    }

    private createRouter(): RequestRouter {
        const { clock, domain, random } = this.options;
        return new RequestRouter({
            clock,
            domain,
            replica: this.replica,
            membership: this.membership,
            peers: () => this.peers,
            dispatchers: () => this.dispatchers,
            serviceOf: name => this.serviceOf(name),
            isDomainReachable: name => this.isDomainReachable(name),
            retryBudget: service => this.retryBudget(service),
            random,
        });
    }

    private createPeerServer(): Server {
        const server = new Server(peerChannelOptions(this.pings()));
        server.addService(peerService, {
            forward: (stream: ServerDuplexStream<FrameBatch, FrameBatch>) =>
                serveForwardStream(
                    stream,
                    (open, sink) => this.dispatchers.dispatch(open, sink),
                    change => {
                        this.undeliveredAnswers += change;
                    },
                ),
            control: (stream: ServerDuplexStream<ControlBatch, ControlBatch>) =>
                serveControlStream(stream, createControlHandler(this.controlOptions, undefined)),
        });
        return server;
    }

    private listenForPeers(): Promise<Result<number, StartError>> {
        const { host, port } = this.options.listen.peers;
        return new Promise(resolve => {
            this.peerServer.bindAsync(`${host}:${port}`, this.options.peerCredentials.server, (error, bound) => {
                resolve(
                    error === null
                        ? ok(bound)
                        : err({ type: "listen-failed", address: `${host}:${port}`, detail: error.message }),
                );
            });
        });
    }

    private listenForCallers(): Promise<Result<number, StartError>> {
        const { host, port } = this.options.listen.callers;
        return new Promise(resolve => {
            this.callerServer.once("error", error =>
                resolve(err({ type: "listen-failed", address: `${host}:${port}`, detail: error.message })),
            );
            this.callerServer.listen(port, host, () => {
                const address = this.callerServer.address();
                resolve(ok(typeof address === "object" && address !== null ? address.port : port));
            });
        });
    }

    private replicaChanged(changed: Parameters<Membership["replicaChanged"]>[0]): void {
        this.membership.replicaChanged(changed);
        if (changed.some(({ key }) => key.startsWith("member/"))) {
            this.peers.sync();
        }
        if (changed.some(({ key }) => key.startsWith("target/") || key.startsWith("member/"))) {
            this.dispatchers.sync();
        }
    }

    /** Whether any linked member of a domain responds. */
    isDomainReachable(domain: string): boolean {
        return this.replica.members(domain).some(({ value }) => this.isReachable(value.incarnation));
    }

    private retryBudget(service: string): RetryBudget {
        const existing = this.retryBudgets.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const budget = new RetryBudget(this.options.clock, { share: this.options.limits.retryShare });
        this.retryBudgets.set(service, budget);
        return budget;
    }

    private serviceOf(name: string): BundleService | undefined {
        return this.kinds?.service(name);
    }

    private maxDeadlineCap(): number {
        return Math.max(0, ...(this.kinds?.bundle.services ?? []).map(({ deadlineCapMs }) => deadlineCapMs));
    }

    private heldRow(key: string) {
        const row = this.replica.get(key, targetRowSchema);
        return row?.value.dispatcher === this.membership.identity().incarnation ? row : undefined;
    }

    private listedInstances(): ReadonlySet<string> | undefined {
        const listed = this.poller.instances();
        return listed === undefined ? undefined : new Set(listed.map(({ name }) => name));
    }

    private receiveEndedRun(payload: string): undefined {
        const ended = endedRunSchema.safeParse(parseJson(payload));
        if (ended.success) {
            this.dispatchers.get(ended.data.target)?.earlierRunEnded(ended.data.position);
        }
    }

    /** Notifies the current dispatcher of a target that a request of this former dispatcher has ended there. */
    private notifyEndedRun(ended: EndedRun): void {
        const row = this.replica.get(ended.target, targetRowSchema);
        this.peers.controlLink(row?.value.dispatcher ?? "")?.notify("run-ended", ended);
    }

    private receiveLoad(payload: string): undefined {
        const load = movedLoadSchema.safeParse(parseJson(payload));
        if (load.success) {
            this.ownership.addMovedLoad(load.data);
        }
    }

    private receiveQuarantine(payload: string): undefined {
        const records = quarantineRecordSchema.array().safeParse(parseJson(payload));
        if (records.success) {
            const changed = this.quarantine.merge(records.data);
            if (changed.length > 0 && this.membership.isLarge()) {
                this.peers.notifyAll("quarantine", changed, true);
            }
        }
    }

    private importRecords(handOver: RecordHandOver, target: TargetHandOver): boolean {
        const isTaken = this.records.import(handOver);
        if (isTaken && (target.runs !== undefined || target.load !== undefined)) {
            this.dispatchers.expectHandOver(handOverName(handOver), target);
        }
        return isTaken;
    }

    /** Applies the instance list: new services and targets, leaving targets, and requested drains. */
    private async applyInstanceList(): Promise<void> {
        const listed = this.poller.instances();
        if (listed === undefined || this.kinds === undefined || this.leaving) {
            return;
        }
        for (const { role, service, name, state, address } of listed) {
            if (role !== "target" || service === undefined) {
                continue;
            }
            if (state === "leaving" || isTargetDrainRequested(this.replica, service, name, address)) {
                this.dispatchers.get(targetRowKey(service, name))?.drain();
            }
        }
        if (isInstanceDrainRequested(this.replica, this.membership.identity().incarnation)) {
            this.options.drainRequested();
        }
        await this.layout.tick(this.kinds.bundle.services, listed);
    }

    private pause(delayMs: number): Promise<void> {
        return new Promise(resolve => this.options.clock.setTimer(delayMs, resolve));
    }
}
