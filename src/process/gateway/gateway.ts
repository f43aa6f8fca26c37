import { isDeepStrictEqual } from "node:util";
import type { EndedIdle } from "../../connection/targetConnections.js";
import { createGatewayServer, type GatewayServer } from "../../connection/gatewayServer.js";
import type { HttpEndpoint } from "../../connection/httpEndpoint.js";
import type { AnswerFacts, CallerEnd, GatewayCall, GatewayReply } from "../../request/gatewayCall.js";
import { GatewayRequest } from "../../request/gatewayRequest.js";
import type { ExcessivePart, GatewayServices, RunningRequest } from "../../request/gatewayServices.js";
import { HeldAnswers } from "../../request/heldAnswers.js";
import { refuse, type Refusal } from "../../request/refusal.js";
import { refuseStopping } from "../../request/refuseStopping.js";
import { WeightedSplit } from "../../version/weightedSplit.js";
import { repeat, type Clock, type TimerCancellation } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import { StallWatch } from "../runtime/stallWatch.js";
import type { Logger, LogPart } from "../observability/logger.js";
import { Metrics, SUMMARY_WINDOW_MS } from "../observability/metrics.js";
import { startMetricsServer } from "../observability/metricsServer.js";
import type { RetryBudget } from "../dispatch/retryBudget.js";
import { ConfigKeeper } from "./configKeeper.js";
import { createRetryBudget } from "./createRetryBudget.js";
import { CRASH_TABLE, CrashSuspects } from "./crashSuspects.js";
import { Evacuations } from "./evacuations.js";
import { GatewayMetrics, type GatewayState } from "./gatewayMetrics.js";
import { endWithProcess } from "./endWithProcess.js";
import { GatewayPaths } from "./gatewayPaths.js";
import type { GatewayPlatform } from "./gatewayPlatform.js";
import type { GatewayTarget } from "./gatewayTarget.js";
import { GatewayTargets } from "./gatewayTargets.js";
import { ASSIGNMENT_TABLE } from "./keyAssigner.js";
import { isStoreAway } from "./isStoreAway.js";
import { KeyAssigners } from "./keyAssigners.js";
import { changeBetween, type KeyChange } from "./keyChange.js";
import { KeyOwners } from "./keyOwners.js";
import { LeavingExchange } from "./leavingExchange.js";
import { LimitAdmitter } from "./limitAdmitter.js";
import { LimitExchange, type Permit } from "./limitExchange.js";
import { parsePeerAddress, PeerPort, type PeerAddress } from "./peerPort.js";
import type { RetryLimit } from "./retryLimit.js";
import { startReadinessServer } from "./readinessServer.js";
import { RequestLog, type ServiceState } from "./requestLog.js";
import { RetryMeter } from "./retryMeter.js";
import { reportCrashes } from "./reportCrashes.js";
import type { StoredRow } from "./rowStore.js";
import { SharedLoad } from "./sharedLoad.js";
import { StoreRelay } from "./storeRelay.js";
import { stopSchedule } from "./stopSchedule.js";
import { TableFollower } from "./tableFollower.js";
import { isAccepting, type DirectoryTarget } from "./targetDirectory.js";
import type { TargetIntake } from "./targetIntake.js";
import { TargetPlacement } from "./targetPlacement.js";
import { TargetRooms } from "./targetRooms.js";
import type { WarmupBound } from "./warmupBound.js";
import type { TargetLimit } from "./warmupLimit.js";
import { WarmupWatch, type ColdFinding, type ServiceWarmup, type WarmingTarget } from "./warmupWatch.js";

/**
 * Time for which the store holds calls for changes of configs and targets, in milliseconds. A call that is lost is noticed before
 * the instance has to apply changes again, 3 s after a fault.
 */
const CONFIG_WAIT_MS = 1_500;
/** The same for rows shared among instances. Answers of a stale owner reveal it, so these calls may be less frequent. */
const SHARED_WAIT_MS = 12_000;
/** Pause between reads of target changes, in milliseconds; all changes during the pause are read with one call. */
const TARGET_CHANGES_PAUSE_MS = 1_100;
/** The same on the instance that assigns keys. */
const ASSIGNER_CHANGES_PAUSE_MS = 150;
/** The same for rows shared among instances, and for key owners when a request needs the current one; in milliseconds. */
const SHARED_CHANGES_PAUSE_MS = 40;
/** The same for key owners otherwise. A target refuses keys that it has released, so a stale owner does no harm. */
const OWNERS_CHANGES_PAUSE_MS = 1_000;
/**
 * The same waits on the instance that passes changes on to the others, in milliseconds. An answer shows the others that the
 * instance still reaches the store.
 */
const SOURCE_CONFIG_WAIT_MS = 800;
const SOURCE_SHARED_WAIT_MS = 2_500;
/** Age from which relayed configs and targets are too old, in milliseconds; both must apply within 2 seconds. */
const CONFIG_MAX_AGE_MS = 1_600;
/** The same for rows shared among instances. */
const SHARED_MAX_AGE_MS = 4_000;
/** Interval of the checks for an outage of the store, in milliseconds. */
const OUTAGE_CHECK_MS = 250;
/** Interval at which idle connections are closed while stopping, in milliseconds. */
const DRAIN_STEP_MS = 100;
/** Interval of the checks whether callers have closed their connections, in milliseconds. */
const CLOSE_STEP_MS = 20;
/** Time for which a process that has failed delivers its last answers, in milliseconds. */
const FAILURE_DELIVERY_MS = 300;

/** How rows are followed that the operator or targets write, and rows that instances share. */
const OPERATOR_ROWS = { waitMs: CONFIG_WAIT_MS, sourceWaitMs: SOURCE_CONFIG_WAIT_MS, maxAgeMs: CONFIG_MAX_AGE_MS };
const SHARED_ROWS = { waitMs: SHARED_WAIT_MS, sourceWaitMs: SOURCE_SHARED_WAIT_MS, maxAgeMs: SHARED_MAX_AGE_MS };

export interface GatewayOptions {
    instance: string;
    /** Failure domain. */
    domain: string;
    callers: { host: string; port: number };
    readiness: { host: string; port: number };
    /** Address for messages of other instances; none are exchanged when it is left out. */
    peers?: PeerAddress;
    /** Address at which metrics are served; they aren't served when it is left out. */
    metrics?: { host: string; port: number };
    /** Time allowed for a shutdown, in milliseconds. */
    graceMs: number;
    /** Interval at which targets check in at the store, in milliseconds. */
    checkInMs: number;
    /** Maximum time for which targets may be granted keys, in milliseconds. */
    maxHoldMs: number;
    /** Time for which a leaving target may get requests, in milliseconds. */
    drainMs: number;
    /** Limit on the retries of all instances together. */
    retryLimit: RetryLimit;
    /** Bound on the requests that a cold target gets. */
    warmupBound: WarmupBound;
    /** Time from the request to evacuate a failure domain until its targets may get no more requests, in milliseconds. */
    evacuateMs: number;
    /** Whether the whole system starts for the first time, so that no target holds keys yet. */
    isFirstStart?: boolean;
    platform: GatewayPlatform;
    clock: Clock;
    loggers: (part: LogPart) => Logger;
}

/**
 * An instance that sends each request directly to a target. It reads configs, targets and key owners from the store, and
 * assigns keys while it holds the assigner lease.
 *
 * @example
 * const gateway = new Gateway(options);
 * await gateway.start();
 * await gateway.shutDown();
 */
export class Gateway {
    private readonly config: ConfigKeeper;
    private readonly targets: GatewayTargets;
    private readonly evacuations: Evacuations;
    private readonly warmups: WarmupWatch;
    private readonly owners: KeyOwners;
    private readonly peers: PeerPort;
    private readonly load: SharedLoad;
    private readonly admitter: LimitAdmitter;
    private readonly limits: LimitExchange;
    private readonly leaving: LeavingExchange;
    private readonly relay: StoreRelay;
    private readonly paths: GatewayPaths;
    private readonly retries = new Map<string, RetryBudget>();
    private readonly split = new WeightedSplit();
    private readonly rooms: TargetRooms;
    private readonly placement: TargetPlacement;
    private readonly ownersFollower: TableFollower;
    /** Finds out for all followers when the store answers again after a failure. */
    private readonly configFollower: TableFollower;
    private readonly targetsFollower: TableFollower;
    private readonly crashesFollower: TableFollower;
    private readonly followers: TableFollower[];
    private readonly assigners: KeyAssigners;
    private readonly server: GatewayServer;
    private readonly services: GatewayServices;
    private readonly suspects: CrashSuspects;
    private readonly log: RequestLog;
    private readonly retryMeter: RetryMeter;
    private readonly metrics = new Metrics();
    private readonly observer: GatewayMetrics;
    private readonly disposables = new DisposableStore();
    private readonly stalls: StallWatch;
    private readiness: HttpEndpoint | undefined;
    private isDraining = false;
    /** Requests without a final answer. */
    private readonly requests = new Set<RunningRequest>();
    /** Monotonic time from which a stopping instance accepts no more requests, in milliseconds. */
    private acceptsUntil = Infinity;
    /** Monotonic time at which a stopping instance gives its last answers, in milliseconds. */
    private answersUntil = Infinity;

    constructor(private readonly options: GatewayOptions) {
        const { clock, loggers, platform, instance } = options;
        this.config = new ConfigKeeper({
            clock,
            logger: loggers("bundles"),
            knownUntil: () => this.configFollower.completeUntil,
            onChange: lookup => {
                this.server.setLimits(lookup.config.limits);
                this.paths.setLimits(lookup.config.limits);
                this.split.retain(lookup.config.routes);
                this.rooms.update(lookup.config.routes);
                this.assigners.update(lookup.config.services);
            },
        });
        this.warmups = new WarmupWatch({
            clock,
            bound: options.warmupBound,
            warmupOf: service => this.warmupOf(service),
            turnedCold: (...turned) => this.turnedCold(...turned),
            failedAgain: (target, leftMs, aliveMsAgo) => this.limits.turnedCold(target, leftMs, true, aliveMsAgo),
            disproved: target => this.restartDisproved(target),
        });
        this.targets = new GatewayTargets({
            clock,
            logger: loggers("membership"),
            domain: options.domain,
            decode: platform.decodeTarget,
            connectionLimit: service => this.config.current?.service(service)?.connectionLimit,
            gone: id => {
                this.suspects.targetEnded(id);
                this.observer.targetGone(id);
            },
            checkInMs: options.checkInMs,
            graceMs: options.graceMs,
            coldLimit: entry => this.warmups.limitOf(entry),
            idleEnded: (...ended) => this.idleEnded(...ended),
        });
        this.evacuations = new Evacuations({
            clock,
            logger: loggers("membership"),
            evacuateMs: options.evacuateMs,
            decode: platform.decodeEvacuation,
            completeUntil: () => this.configFollower.completeUntil,
            began: evacuation => {
                this.evacuationChanged(evacuation.domain);
                this.targets.directory.beginEvacuation(evacuation);
            },
            ended: evacuated => {
                this.evacuationChanged(evacuated);
                this.targets.directory.endEvacuation(evacuated);
            },
        });
        this.owners = new KeyOwners({ clock, logger: loggers("ownership") });
        this.peers = new PeerPort({ address: options.peers, logger: loggers("peers") });
        this.relay = new StoreRelay({
            clock,
            logger: loggers("platform"),
            isSource: () => this.assigners.lease.isHeld(),
            source: () => parsePeerAddress(this.assigners.lease.assignerAddress),
            send: (address, content) => this.peers.send(address, content),
            // The others follow changes by this instance's answers, which must not be as old as its held calls.
            began: () => this.followers.forEach(follower => follower.renewHeldCall()),
            silent: () => this.assigners.lease.holderSilent(),
            domain: options.domain,
            isCutOff: () => this.paths.isCutOff,
        });
        this.peers.handle(this.relay.receive);
        this.load = new SharedLoad({
            clock,
            targets: this.targets,
            isKeyed: service => this.config.current?.service(service)?.keyed === true,
            port: this.peers,
            assigner: () => parsePeerAddress(this.assigners.lease.assignerAddress),
        });
        this.admitter = new LimitAdmitter(clock);
        this.limits = new LimitExchange({
            clock,
            admitter: this.admitter,
            isAdmitting: () => this.assigners.lease.isHeld(),
            admittingAddress: () => parsePeerAddress(this.assigners.lease.assignerAddress),
            send: (address, content) => this.peers.send(address, content),
            unanswered: () => this.assigners.lease.lookAgain(),
            limitEnded: ({ id, startedAtMs }, before) =>
                this.targets.get(id, startedAtMs)?.listed.intake.endLimit(before),
            others: () => this.relay.peers().map(({ address }) => address),
            coldReported: (...report) => this.warmups.reported(...report),
        });
        this.peers.handle(this.limits.receive);
        this.leaving = new LeavingExchange({
            clock,
            isAssigning: () => this.assigners.lease.isHeld(),
            assigner: () => parsePeerAddress(this.assigners.lease.assignerAddress),
            registered: id => this.targets.directory.get(id),
            heard: listed => this.leavingStated(listed),
            send: (address, content) => this.peers.send(address, content),
            unanswered: () => this.assigners.lease.lookAgain(),
        });
        this.peers.handle(this.leaving.receive);
        this.rooms = new TargetRooms({ clock, random: Math.random });
        this.placement = new TargetPlacement({
            lookup: () => this.config.current,
            keyMap: service => this.owners.of(service),
            targets: service => this.targets.accepting(service),
            owner: (id, startedAtMs) => {
                const target = this.targets.get(id, startedAtMs);
                return target !== undefined && isAccepting(target.listed) ? target : undefined;
            },
            drainMs: options.drainMs,
            isOutOfReach: target => this.paths.isOutOfReach(target),
            crossings: target => this.paths.crossings(target),
            ownersAreFresh: () => this.ownersFollower.isFresh,
            rooms: this.rooms,
            random: Math.random,
        });
        const { tables } = platform;
        this.ownersFollower = this.follow({
            table: ASSIGNMENT_TABLE,
            ...SHARED_ROWS,
            pauseMs: () => (this.relay.isSending ? SHARED_CHANGES_PAUSE_MS : OWNERS_CHANGES_PAUSE_MS),
            minPauseMs: SHARED_CHANGES_PAUSE_MS,
            // One row for each service, which contains the owners of all its keys.
            needsNewest: true,
            replaced: rows => rows.forEach(row => this.owners.rowChanged(row)),
            changed: row => this.ownersChanged(row),
            patched: change => this.owners.changed(change),
        });
        this.configFollower = this.follow({
            table: tables.config,
            ...OPERATOR_ROWS,
            pauseMs: () => 0,
            // Each version of the config has all routes.
            needsNewest: true,
            replaced: rows => {
                this.evacuations.listed(rows);
                rows.forEach(row => this.configChanged(row));
            },
            restored: rows => {
                this.evacuations.restored(rows);
                rows.forEach(row => this.configChanged(row));
            },
            changed: row => {
                this.evacuations.rowChanged(row);
                this.configChanged(row);
            },
        });
        this.targetsFollower = this.follow({
            table: tables.targets,
            ...OPERATOR_ROWS,
            // The assigner has to move the keys of leaving targets without delay.
            pauseMs: () => (this.assigners.lease.isHeld() ? ASSIGNER_CHANGES_PAUSE_MS : TARGET_CHANGES_PAUSE_MS),
            replaced: rows => {
                this.targets.listed(rows);
                this.targetsRead();
            },
            restored: rows => {
                this.targets.restored(rows);
                this.targetsRead();
            },
            changed: row => this.targetChanged(row),
        });
        this.crashesFollower = this.follow({
            table: CRASH_TABLE,
            ...SHARED_ROWS,
            pauseMs: () => SHARED_CHANGES_PAUSE_MS,
            replaced: rows => rows.forEach(row => this.suspects.rowChanged(row)),
            restored: rows => this.suspects.restored(rows),
            changed: row => this.suspects.rowChanged(row),
        });
        this.followers = [this.ownersFollower, this.configFollower, this.targetsFollower, this.crashesFollower];
        this.assigners = new KeyAssigners({
            instance,
            peerAddress: options.peers === undefined ? undefined : `${options.peers.host}:${options.peers.port}`,
            store: platform.store,
            calls: platform.calls,
            clock,
            logger: loggers("ownership"),
            targets: this.targets,
            load: this.load,
            leavingStated: listed => this.leavingStated(listed),
            isSourceHeard: () => this.relay.isHeard,
            isFit: () => !this.paths.isCutOff,
            admitter: this.admitter,
            maxHoldMs: options.maxHoldMs,
            isFirstStart: options.isFirstStart,
            grantEnded: (service, reply) => this.metrics.counter("grants_total", { service, reply }).add(),
        });
        this.log = new RequestLog({
            clock,
            logger: loggers("callers"),
            serviceState: service => this.serviceState(service),
        });
        this.retryMeter = new RetryMeter({ clock, logger: loggers("callers"), metrics: this.metrics });
        this.observer = new GatewayMetrics(this.metrics, {
            clock,
            domain: options.domain,
            state: () => this.state(),
        });
        this.suspects = new CrashSuspects({
            clock,
            logger: loggers("dispatch"),
            ownRow: instance,
            publish: value => void reportCrashes(platform.store, instance, value, loggers("dispatch")),
        });
        this.services = {
            clock,
            heldAnswers: new HeldAnswers(),
            place: query => this.placement.place(query),
            canPlaceAgain: (query, end) => this.placement.canPlaceAgain(query, end),
            onOwnerChange: (service, callback) => {
                this.ownersFollower.refresh();
                return this.owners.onChange(service, callback);
            },
            permit: (target, limit, callback) => this.permit(target, limit, callback),
            takes: (target, call) => this.placement.takes(target, call),
            answerStated: (...answer) => this.answerStated(...answer),
            rooms: {
                join: (target, request) => this.rooms.join(target, request),
                wake: target => this.rooms.wake(target),
                started: (service, route) => this.rooms.started(service, route),
                answered: (request, target, answer) => this.rooms.answered(request, target, answer),
                waitEnded: (request, result, waitedMs) => {
                    this.rooms.waitEnded(request, result === "sent", waitedMs);
                    this.observer.roomWaitEnded(request, result, waitedMs);
                },
            },
            takeRetry: service => {
                const isGranted = this.retriesOf(service).take();
                this.retryMeter.budgeted(service, isGranted);
                return isGranted;
            },
            retried: (service, cause) => this.retryMeter.retried(service, cause),
            targetHeaders: platform.targetHeaders,
            factsOf: platform.factsOf,
            sentUnbounded: ({ listed }) => this.warmups.sent(listed.entry),
            addressLost: ({ listed }) => this.assigners.addressLost(listed),
            attemptFailed: (service, type, wasSent) =>
                this.metrics.counter("attempt_failures_total", { service, type, sent: String(wasSent) }).add(),
            excessiveAnswer: (request, target, part, detail) => this.excessiveAnswer(request, target, part, detail),
            brokeWhileRunning: (call, target, { aliveAt }) => {
                this.suspects.connectionBroke(call, target.id);
                this.warmups.connectionFailed(target.listed.entry, "broken", aliveAt);
            },
            peerTo: (...way) => this.paths.peerTo(...way),
            notForwarded: (...notForwarded) => this.paths.notForwarded(...notForwarded),
            forwardingLost: peer => peer.suspect(),
            connectionFailed: (target, failure) => this.paths.connectionFailed(target, failure),
            ended: (request, outcome) => {
                this.requests.delete(request);
                if (outcome.type === "answered") {
                    this.suspects.answered(request.call);
                }
                this.log.ended(request, outcome);
                this.observer.ended(request, outcome);
            },
        };
        this.paths = new GatewayPaths({
            clock,
            loggers,
            metrics: this.metrics,
            instance,
            domain: options.domain,
            address: options.peers,
            port: this.peers,
            platform,
            targets: this.targets,
            assigners: () => this.assigners,
            relay: () => this.relay,
            suspects: () => this.suspects,
            unreadSince: () => this.stalls.unreadSince(),
            connectionFailed: ({ listed }, { type, aliveAt }) => {
                if (type === "refused" || type === "broken") {
                    this.warmups.connectionFailed(listed.entry, type, aliveAt);
                }
            },
            pathOpened: ({ listed }, heardAt) => this.warmups.connectionFailed(listed.entry, "silent", heardAt),
            services: { ...this.services, unreadSince: () => this.stalls.unreadSince(), drainMs: options.drainMs },
        });
        this.stalls = new StallWatch(clock, stallMs => {
            this.metrics.counter("stalls_total", {}).add();
            loggers("daemon").warn("The event loop stalled.", { ms: Math.round(stallMs) });
        });
        this.server = createGatewayServer({
            handle: (call, reply) => this.handle(call, reply),
            fieldsOf: platform.fieldsOf,
            isReserved: platform.isReserved,
            monotonicMs: () => clock.monotonicMs(),
            unreadSince: () => this.stalls.unreadSince(),
            abandoned: () => this.observer.abandoned(),
        });
    }

    /** Whether the balancer should send requests to this instance. */
    isReady(): boolean {
        return (
            !this.isDraining && this.config.current !== undefined && this.followers.every(({ isLoaded }) => isLoaded)
        );
    }

    /**
     * Starts listening and following the store, and returns the ports. Until a config has been read, requests are refused
     * as not run.
     */
    async start(): Promise<{ callers: number; readiness: number; metrics: number | undefined }> {
        const { callers, readiness, clock, loggers, domain } = this.options;
        this.followers.forEach(follower => {
            follower.start();
            this.disposables.add(follower);
        });
        this.assigners.start();
        this.disposables.add(this.assigners);
        this.disposables.add(repeat(clock, OUTAGE_CHECK_MS, () => this.checkOutage()));
        this.disposables.add(this.retryMeter.start());
        this.disposables.add(this.stalls.start());
        this.readiness = await startReadinessServer({ ...readiness, isReady: () => this.isReady() });
        const port = await this.server.listen(callers.port, callers.host);
        this.disposables.add(this.peers);
        await this.peers.start();
        this.disposables.add(this.paths);
        await this.paths.start();
        this.disposables.add(this.load);
        this.disposables.add(this.leaving);
        this.disposables.add(this.relay);
        this.load.start();
        this.relay.start();
        const metrics = await this.serveMetrics();
        loggers("daemon").info("Started.", { domain, callers: `${callers.host}:${port}`, metrics });
        return { callers: port, readiness: this.readiness.port, metrics };
    }

    /**
     * Shuts the instance down: it reports itself as not ready to the balancer first, finishes running requests, and closes
     * connections between requests. Requests whose targets don't answer in time get a final answer before the process ends.
     */
    async shutDown(): Promise<void> {
        const { clock, loggers, graceMs } = this.options;
        const began = clock.monotonicMs();
        const { acceptsForMs, answersForMs, endsAfterMs } = stopSchedule(graceMs);
        loggers("daemon").info("Stopping.", { unfinished: this.server.unfinished() });
        this.endBy(began + acceptsForMs, began + answersForMs);
        void this.assigners.release();
        const elapsedMs = () => clock.monotonicMs() - began;
        this.paths.stop();
        const unfinished = () => this.server.unfinished() + this.paths.unfinished();
        while (elapsedMs() < acceptsForMs || (unfinished() > 0 && elapsedMs() < endsAfterMs)) {
            this.server.startDraining();
            this.paths.startDraining();
            await new Promise<void>(resolve => clock.setTimer(DRAIN_STEP_MS, resolve));
        }
        this.server.closeAll();
        this.paths.closeAll();
        while (this.server.closing() + this.paths.closing() > 0 && elapsedMs() < endsAfterMs) {
            await new Promise<void>(resolve => clock.setTimer(CLOSE_STEP_MS, resolve));
        }
        loggers("daemon").info("Stopped.", { unfinished: this.server.unfinished(), ms: Math.round(elapsedMs()) });
        this.dispose();
    }

    /** Has the gateway shut down when the process is asked to stop, and `fail` after an error that no code handles. */
    endWithProcess(): void {
        const logger = this.options.loggers("daemon");
        endWithProcess({ shutDown: () => this.shutDown(), fail: () => this.fail(), logger });
    }

    /** Gives all requests their final answer at once, because the process can't go on, and ends when these are delivered. */
    async fail(): Promise<void> {
        const { clock } = this.options;
        const began = clock.monotonicMs();
        this.endBy(began, began);
        const hasTime = () => clock.monotonicMs() - began < FAILURE_DELIVERY_MS;
        do {
            this.server.startDraining();
            await new Promise<void>(resolve => clock.setTimer(DRAIN_STEP_MS, resolve));
        } while (this.server.unfinished() > 0 && hasTime());
        this.server.closeAll();
        while (this.server.closing() > 0 && hasTime()) {
            await new Promise<void>(resolve => clock.setTimer(CLOSE_STEP_MS, resolve));
        }
        this.dispose();
    }

    /** Has all requests end by a time, and accepts none from another time on; both are monotonic, in milliseconds. */
    private endBy(acceptsUntil: number, answersUntil: number): void {
        this.isDraining = true;
        this.acceptsUntil = acceptsUntil;
        this.answersUntil = answersUntil;
        this.requests.forEach(request => request.endBy(answersUntil));
    }

    dispose(): void {
        this.assigners.dispose();
        void this.disposables.dispose();
        this.server.dispose();
        void this.readiness?.dispose();
        this.targets.dispose();
    }

    private handle(call: GatewayCall, reply: GatewayReply): (end: CallerEnd) => void {
        if (this.options.clock.monotonicMs() >= this.acceptsUntil) {
            return this.refuseUnrouted(call, reply, refuseStopping());
        }
        const lookup = this.config.current;
        if (lookup === undefined) {
            return this.refuseUnrouted(call, reply, refuse("no-bundle", "No config is known yet."));
        }
        const route = lookup.find(call.host, call.url);
        if (route === undefined) {
            const detail = `No route leads to ${call.host}${call.url.slice(0, 80)}.`;
            return this.refuseUnrouted(call, reply, refuse("unknown-route", detail));
        }
        if (this.suspects.isQuarantined(call)) {
            return this.refuseUnrouted(call, reply, refuse("quarantined", "Targets crashed while they ran it."));
        }
        const service = this.split.next(route);
        this.retriesOf(service).request();
        this.retryMeter.request(service);
        this.rooms.demandOf(service).asked(route);
        if (call.key !== undefined && lookup.service(service)?.keyed === true) {
            this.load.record(service, call.key);
        }
        const request = new GatewayRequest(call, route, service, this.measured(route.name, reply), this.services);
        this.requests.add(request);
        request.endBy(this.answersUntil);
        request.start();
        return end => request.callerGone(end);
    }

    /** Refuses a request before a service is chosen for it. */
    private refuseUnrouted(call: GatewayCall, reply: GatewayReply, refusal: Refusal): () => void {
        reply.refuse(refusal);
        this.log.refused(call, refusal);
        this.observer.refused(refusal);
        return () => undefined;
    }

    /** Asks whether a request may be sent to a target with a limit. */
    private permit(target: GatewayTarget, limit: TargetLimit, callback: (permit: Permit) => void): TimerCancellation {
        const { id, service, startedAtMs } = target.listed.entry;
        const { stated, cold } = limit;
        const ageMs = stated === undefined ? 0 : this.options.clock.monotonicMs() - stated.statedAt;
        return this.limits.permit({ id, startedAtMs, perSecond: stated?.perSecond, ageMs, cold }, permit => {
            this.metrics.counter("limit_permits_total", { service, result: permit.result }).add();
            callback(permit);
        });
    }

    /** Applies what an answer states of its target; see `GatewayServices`. */
    private answerStated(target: GatewayTarget, facts: AnswerFacts, sentAt: number, connectedAt: number): void {
        const { leaving, restMs, limitPerSecond, signed, answeredBy, warmupLeftMs } = facts;
        if (answeredBy !== undefined && answeredBy !== target.id) {
            return;
        }
        // Only the target itself may end its warm-up.
        const statedLeftMs = signed || warmupLeftMs !== 0 ? warmupLeftMs : undefined;
        this.warmups.answered(target.listed.entry, sentAt, statedLeftMs, connectedAt);
        const { intake } = target.listed;
        if (leaving) {
            this.leavingStated(target.listed);
        }
        if (restMs !== undefined) {
            this.restStated(target, restMs);
        } else if (intake.rest !== undefined) {
            intake.endRest(sentAt);
        }
        if (limitPerSecond !== undefined || (intake.limit !== undefined && signed)) {
            this.limitStated(target, limitPerSecond, sentAt);
        }
    }

    /** Applies a target's statement that it leaves, which this or another instance has read. */
    private leavingStated(listed: DirectoryTarget): void {
        if (!this.targets.directory.stateLeaving(listed)) {
            return;
        }
        const { service } = listed.entry;
        this.metrics.counter("target_statements_total", { service, kind: "leaving" }).add();
        if (this.config.current?.service(service)?.keyed === true) {
            this.leaving.stated(listed.entry);
        }
    }

    private restStated({ listed }: GatewayTarget, restMs: number): void {
        const { id, service } = listed.entry;
        if (listed.intake.stateRest(restMs, this.options.clock)) {
            this.metrics.counter("target_statements_total", { service, kind: "rest" }).add();
            this.options
                .loggers("dispatch")
                .info(`Target ${id} takes no requests from this instance for a while.`, { service, restMs });
        }
    }

    /** Applies what an answer to a request that was sent at `sentAt` says of its target's limit. */
    private limitStated(target: GatewayTarget, perSecond: number | undefined, sentAt: number): void {
        const { id, service, startedAtMs } = target.listed.entry;
        const { intake } = target.listed;
        const hasChanged =
            perSecond === undefined ? intake.endLimit(sentAt) : intake.stateLimit(perSecond, this.options.clock);
        if (!hasChanged) {
            return;
        }
        this.options
            .loggers("dispatch")
            .info(`The limit of target ${id} has changed.`, { service, perSecond: perSecond ?? "none" });
        const ageMs = perSecond === undefined ? this.options.clock.monotonicMs() - sentAt : 0;
        this.limits.learned({ id, startedAtMs, perSecond: intake.limit?.perSecond, ageMs });
    }

    /** How targets of a service warm up, if that bounds their requests. */
    private warmupOf(service: string): ServiceWarmup | undefined {
        const { warmupMs = 0, warmupPerSecond = 0 } = this.config.current?.service(service) ?? {};
        return warmupPerSecond > 0 ? { warmupMs, perSecond: warmupPerSecond } : undefined;
    }

    private turnedCold(target: WarmingTarget, finding: ColdFinding): void {
        const { id, service } = target;
        const { cause, leftMs, sentMeanwhile = 0 } = finding;
        this.metrics.counter("targets_turned_cold_total", { service, cause }).add();
        if (sentMeanwhile > 0) {
            this.metrics.counter("unbounded_cold_requests_total", { service, cause }).add(sentMeanwhile);
        }
        this.options
            .loggers("dispatch")
            .info(`Target ${id} is cold; the rate of its requests is bounded.`, { service, ...finding });
        if (cause === "answer" || cause === "refused" || cause === "broken") {
            this.limits.turnedCold(target, leftMs, cause === "broken", finding.aliveMsAgo);
        }
    }

    private evacuationChanged(domain: string): void {
        for (const { entry } of this.targets.directory.all()) {
            if (entry.domain === domain) {
                this.warmups.evacuationChanged(entry);
            }
        }
    }

    /** Applies that a target has ended idle connections, as a restart does with all of them at once. */
    private idleEnded(listed: DirectoryTarget, { together, left, aliveAt }: EndedIdle): void {
        const { entry } = listed;
        const now = this.options.clock.monotonicMs();
        if (!isAccepting(listed) || this.warmupOf(entry.service) === undefined) {
            return;
        }
        if (this.stalls.unreadSince() < now) {
            // They may have ended at any time of the stall, so that they are read together shows nothing.
            this.warmups.connectionFailed(entry, "ended", aliveAt);
        } else if (together > 1 && left === 0) {
            this.warmups.connectionFailed(entry, "broken", aliveAt);
        } else if (left === 0) {
            this.limits.connectionEnded(entry, now - aliveAt);
        }
    }

    private restartDisproved({ id, service }: WarmingTarget): void {
        this.metrics.counter("disproved_restarts_total", { service }).add();
        this.options
            .loggers("dispatch")
            .info(`Target ${id} isn't cold; it has answered on a connection from before the failed one.`, { service });
    }

    private excessiveAnswer(
        { call, service }: RunningRequest,
        target: GatewayTarget,
        part: ExcessivePart,
        detail: string,
    ): void {
        this.metrics.counter("excessive_answers_total", { service, part }).add();
        this.options
            .loggers("dispatch")
            .warn(`Target ${target.id} sent more than an answer may have; it was broken off.`, {
                request: call.requestId,
                service,
                part,
                detail,
            });
    }

    private storeSilentMs(): number {
        return Math.min(...this.followers.map(follower => follower.silentMs()));
    }

    private serviceState(service: string): ServiceState {
        const owners = this.owners.of(service);
        const now = this.options.clock.monotonicMs();
        const idsOf = (isMeant: (intake: TargetIntake) => boolean): string | undefined =>
            this.targets
                .accepting(service)
                .filter(({ listed }) => isMeant(listed.intake))
                .map(({ id }) => id)
                .join(",") || undefined;
        return {
            config: this.config.current?.config.version,
            fence: owners?.assignment.fence,
            ownersAgeMs: owners === undefined ? undefined : Math.round(now - owners.learnedAtMs),
            storeSilentMs: Math.round(this.storeSilentMs()),
            resting: idsOf(({ rest }) => rest !== undefined && now < rest.until),
            leaving: idsOf(({ leavingAt }) => leavingAt !== undefined),
        };
    }

    private state(): GatewayState {
        return {
            configVersion: this.config.current?.config.version ?? 0,
            configAgeMs: this.config.ageMs(),
            configDelayMs: this.config.delayMs(),
            storeSilentMs: this.storeSilentMs(),
            tables: [
                { table: "configs", follower: this.configFollower },
                { table: "targets", follower: this.targetsFollower },
                { table: "owners", follower: this.ownersFollower },
                { table: "crashes", follower: this.crashesFollower },
            ].map(({ table, follower }) => ({
                table,
                silentMs: follower.silentMs(),
                failedCalls: follower.failedCalls,
                call: follower.call,
            })),
            storeEra: Math.max(...this.followers.map(({ latestEra }) => latestEra)),
            isAssigner: this.assigners.lease.isHeld(),
            isCutOff: this.paths.isCutOff,
            ownersWithoutGrant: [...this.assigners.ownerGrants()].map(([service, { failing }]) => ({
                service,
                owners: failing.length,
            })),
            evacuatedDomains: this.evacuations.all().map(({ domain }) => domain),
            evacuatedKeys: this.assigners.evacuatedKeys(),
            targets: [...this.targets.all()].map(target => ({
                service: target.listed.entry.service,
                target: target.id,
                inFlight: target.running,
                isCut: target.reach.isCut,
                limit: target.listed.intake.limit?.perSecond,
                isCold: target.isCold,
                load: target.estimatedLoad(),
                probes: target.probes,
                missingAnswers: target.missingAnswers,
            })),
            services: [...this.targets.serviceProfiles()].map(([service, profile]) => ({
                service,
                instances: profile.instances(this.options.clock.monotonicMs()),
                losesWhenFull: profile.losesWhenFull(this.options.clock.monotonicMs()),
            })),
            waiting: this.rooms.waitingByService(),
            retries: [...this.retries].map(([service, budget]) => ({ service, available: budget.available() })),
        };
    }

    /** Starts the metrics server. If its address can't be used, the instance runs without metrics. */
    private async serveMetrics(): Promise<number | undefined> {
        const { metrics: address, clock, loggers } = this.options;
        if (address === undefined) {
            return undefined;
        }
        this.disposables.add(repeat(clock, SUMMARY_WINDOW_MS, () => this.metrics.rotate()));
        const started = await startMetricsServer({ ...address, metrics: this.metrics });
        if (started.isErr()) {
            const { address: taken, detail } = started.error;
            loggers("daemon").error("Metrics aren't served: the address can't be used.", { address: taken, detail });
            return undefined;
        }
        this.disposables.add(started.value);
        return started.value.port;
    }

    /** Wraps a reply so that the size of its answer is recorded for placement. */
    private measured(route: string, reply: GatewayReply): GatewayReply {
        return {
            ...reply,
            answer: (head, body) => {
                this.placement.recordAnswerSize(
                    route,
                    body.reduce((sum, chunk) => sum + chunk.length, 0),
                );
                reply.answer(head, body);
            },
        };
    }

    private follow(options: {
        table: string;
        waitMs: number;
        /** The same while this instance passes changes on. */
        sourceWaitMs: number;
        /** Age from which relayed changes are too old, in milliseconds. */
        maxAgeMs: number;
        pauseMs: () => number;
        minPauseMs?: number;
        needsNewest?: boolean;
        replaced: (rows: StoredRow[]) => void;
        /** Applies the first snapshot of a restored store; `replaced` by default. */
        restored?: (rows: StoredRow[]) => void;
        changed: (row: StoredRow) => KeyChange | "same" | void;
        patched?: (change: KeyChange) => boolean;
    }): TableFollower {
        const { table, waitMs, sourceWaitMs, maxAgeMs, replaced, restored = replaced } = options;
        const { pauseMs, minPauseMs, needsNewest } = options;
        const { clock, loggers, platform } = this.options;
        const follower: TableFollower = new TableFollower({
            store: platform.store,
            table,
            clock,
            logger: loggers("platform"),
            waitMs: () => (this.relay.isSending ? sourceWaitMs : waitMs),
            pauseMs,
            minPauseMs,
            needsNewest,
            isProbed: () => follower !== this.configFollower && this.configFollower.isFailing,
            followed: {
                replaced,
                restored,
                changed: row => options.changed(row) ?? undefined,
                patched: options.patched,
                eraBegan: era => this.storeRestored(era),
                recovered: () => {
                    this.checkOutage();
                    if (follower === this.configFollower) {
                        this.followers.forEach(other => other.retry());
                    }
                },
            },
            relay: {
                maxAgeMs,
                isSource: () => this.assigners.lease.isHeld(),
                read: step => this.relay.read(table, step),
            },
        });
        this.relay.cover(table, follower);
        return follower;
    }

    private targetsRead(): void {
        for (const { entry } of this.targets.directory.all()) {
            this.warmups.entryRead(entry);
        }
    }

    /** Applies a target's entry. Returns `same` if only the state of its warm-up has changed. */
    private targetChanged(row: StoredRow): "same" | undefined {
        const { directory } = this.targets;
        const earlier = directory.get(row.key)?.entry;
        const wasMissing = directory.isMissing(row.key);
        this.targets.rowChanged(row);
        const later = directory.get(row.key)?.entry;
        // All instances have to know of a target that has turned cold again. The entry before may be of an earlier warm-up.
        const hasTurnedCold = (later?.warmupLeftMs ?? 0) > 0 && !this.warmups.isStatedCold(row.key);
        if (later !== undefined) {
            this.warmups.entryRead(later, true);
        }
        const isSame =
            earlier !== undefined &&
            later !== undefined &&
            !wasMissing &&
            !(hasTurnedCold && this.warmupOf(later.service) !== undefined) &&
            row.value !== undefined &&
            isDeepStrictEqual({ ...earlier, warmupLeftMs: 0 }, { ...later, warmupLeftMs: 0 });
        return isSame ? "same" : undefined;
    }

    /** Applies the row of an assignment. Returns the change, if it is to be passed on. */
    private ownersChanged(row: StoredRow): KeyChange | undefined {
        const earlier = this.owners.of(row.key)?.assignment;
        this.owners.rowChanged(row);
        const later = this.owners.of(row.key)?.assignment;
        return this.relay.isSending && earlier !== undefined && later !== undefined
            ? changeBetween(earlier, later)
            : undefined;
    }

    /** Passes on to all that follow the store that it was restored from a copy. */
    private storeRestored(era: number): void {
        this.targets.directory.storeRestored();
        this.followers.forEach(follower => follower.restored(era));
        this.assigners.lease.storeRestored(era);
    }

    private configChanged(row: StoredRow): void {
        if (row.key === this.options.platform.tables.configKey && row.value !== undefined) {
            this.config.apply(this.options.platform.decodeConfig(row.value));
        }
    }

    private retriesOf(service: string): RetryBudget {
        const known = this.retries.get(service);
        if (known !== undefined) {
            return known;
        }
        const budget = createRetryBudget(this.options.clock, this.options.retryLimit);
        this.retries.set(service, budget);
        return budget;
    }

    private checkOutage(): void {
        this.targets.directory.setOutage(isStoreAway({ targets: this.targetsFollower, all: this.followers }));
    }
}
