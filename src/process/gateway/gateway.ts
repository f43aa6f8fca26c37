import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Result } from "neverthrow";
import { createGatewayServer, type CallFields, type GatewayServer } from "../../connection/gatewayServer.js";
import type { Header } from "../../connection/peerProtocol.js";
import type { AnswerFacts, GatewayCall, GatewayReply } from "../../request/gatewayCall.js";
import { GatewayRequest, type GatewayServices } from "../../request/gatewayRequest.js";
import { refuse, type Refusal } from "../../request/refusal.js";
import type { RouteConfig } from "../../version/routeConfig.js";
import { WeightedSplit } from "../../version/weightedSplit.js";
import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger, LogPart } from "../observability/logger.js";
import { Metrics, SUMMARY_WINDOW_MS } from "../observability/metrics.js";
import { startMetricsServer } from "../observability/metricsServer.js";
import { RetryBudget } from "../dispatch/retryBudget.js";
import { AssignerLease } from "./assignerLease.js";
import { ConfigKeeper, type ConfigProblem } from "./configKeeper.js";
import { CRASH_TABLE, CrashSuspects } from "./crashSuspects.js";
import { DEFAULT_HOLD_MS } from "./grantRecord.js";
import { GatewayMetrics, type GatewayState } from "./gatewayMetrics.js";
import { GatewayTarget } from "./gatewayTarget.js";
import { ASSIGNMENT_TABLE, KeyAssigner } from "./keyAssigner.js";
import { decodeAssignment, KeyMap } from "./keyMap.js";
import { LoadExchange, parsePeerAddress, type PeerAddress } from "./loadExchange.js";
import type { LoadReport } from "./loadReport.js";
import { DECAY_PERIOD_MS, KeyTraffic } from "./keyTraffic.js";
import type { OwnershipCalls } from "./ownershipCalls.js";
import { IDLE_RETRIES_PER_SECOND, MINIMUM_RETRIES, RETRY_SHARE } from "./retryShare.js";
import { startReadinessServer, type ReadinessServer } from "./readinessServer.js";
import { RequestLog, type ServiceBeliefs } from "./requestLog.js";
import type { RowStore, StoredRow } from "./rowStore.js";
import { TableFollower } from "./tableFollower.js";
import { TargetDirectory, type DirectoryTarget } from "./targetDirectory.js";
import type { TargetEntry } from "./targetEntry.js";
import { TargetPlacement } from "./targetPlacement.js";

/** Time for which the store holds calls for changes of configs and targets, which are in force within seconds; in milliseconds. */
const RULES_WAIT_MS = 4_000;
/** The same for rows that instances share. A stale owner is noticed by its answers, so these calls may be rarer. */
const SHARED_WAIT_MS = 12_000;
/** Pause between two reads of changes of targets, in milliseconds; changes within it cost one call together. */
const TARGET_CHANGES_PAUSE_MS = 1_100;
/** The same for the instance that assigns keys. */
const ASSIGNER_CHANGES_PAUSE_MS = 150;
/** The same for the rows that instances share, and for owners when a request needs the present one; in milliseconds. */
const SHARED_CHANGES_PAUSE_MS = 40;
/** The same for owners of keys otherwise. A target refuses keys that it has given up, so a stale owner does no harm. */
const OWNERS_CHANGES_PAUSE_MS = 1_000;
/** Time without an answer of the store after which it counts as out of reach, in milliseconds. */
const OUTAGE_MS = 1_000;
/** Time between two looks for an outage, in milliseconds; a fraction of the time that makes one. */
const OUTAGE_CHECK_MS = 250;
/** Share of a target's connections that all instances may use together, and the instances that share them at least. */
const CONNECTION_SHARE = 0.8;
const ASSUMED_INSTANCES = 12;
/** Time that a stopping instance goes on taking connections: the balancer needs it to notice. In milliseconds. */
const BALANCER_NOTICE_MS = 3_000;
/** Time between two looks for connections to close while stopping, in milliseconds. */
const DRAIN_STEP_MS = 100;

/** The platform as the gateway uses it; implemented outside the product. */
export interface GatewayPlatform {
    store: RowStore;
    calls: OwnershipCalls;
    /** Where the operator's config and the targets' entries are kept. */
    tables: { config: string; configKey: string; targets: string };
    decodeConfig(value: Buffer): Result<RouteConfig, ConfigProblem>;
    /** The entry of a target, or `undefined` for a row that names none. */
    decodeTarget(id: string, value: Buffer): TargetEntry | undefined;
    fieldsOf(headers: IncomingMessage["headers"]): CallFields;
    isReserved(header: string): boolean;
    targetHeaders(call: GatewayCall, target: string, leftMs: number): string[];
    factsOf(status: number, headers: Header[]): AnswerFacts;
}

/** What a gateway is started with. */
export interface GatewayOptions {
    instance: string;
    /** Failure domain. */
    domain: string;
    callers: { host: string; port: number };
    readiness: { host: string; port: number };
    /** Where other instances report load; nowhere when left out. */
    peers?: PeerAddress;
    /** Where metrics are served; nowhere when left out. */
    metrics?: { host: string; port: number };
    /** Time that the process is given to end, in milliseconds. */
    graceMs: number;
    /** Longest time for which targets may be granted keys, in milliseconds. */
    maxHoldMs: number;
    platform: GatewayPlatform;
    clock: Clock;
    loggers: (part: LogPart) => Logger;
}

/**
 * An instance that sends each request straight to a target. It learns configs, targets and the owners of keys from the
 * store, and assigns keys while it holds the lease for that.
 *
 * @example
 * const gateway = new Gateway(options);
 * await gateway.start();
 * await gateway.shutDown();
 */
export class Gateway {
    private readonly config: ConfigKeeper;
    private readonly directory: TargetDirectory;
    private readonly targets = new Map<DirectoryTarget, GatewayTarget>();
    private readonly keyMaps = new Map<string, KeyMap>();
    private readonly ownerWaits = new Map<string, Set<() => void>>();
    private readonly traffic = new Map<string, KeyTraffic>();
    private readonly retries = new Map<string, RetryBudget>();
    private readonly split = new WeightedSplit();
    private readonly placement: TargetPlacement;
    private readonly ownersFollower: TableFollower;
    private readonly followers: TableFollower[];
    private readonly lease: AssignerLease;
    private readonly assigners = new Map<string, KeyAssigner>();
    private readonly server: GatewayServer;
    private readonly services: GatewayServices;
    private readonly suspects: CrashSuspects;
    private readonly log: RequestLog;
    private readonly metrics = new Metrics();
    private readonly observer: GatewayMetrics;
    private readonly disposables = new DisposableStore();
    private readiness: ReadinessServer | undefined;
    private isDraining = false;

    constructor(private readonly options: GatewayOptions) {
        const { clock, loggers, platform, instance } = options;
        this.config = new ConfigKeeper({
            logger: loggers("bundles"),
            onChange: lookup => {
                this.server.setLimits(lookup.config.limits);
                this.split.reset();
                this.updateAssigners();
            },
        });
        this.directory = new TargetDirectory({
            clock,
            logger: loggers("membership"),
            onChange: target => this.targetChanged(target),
        });
        this.placement = new TargetPlacement({
            lookup: () => this.config.current,
            keyMap: service => this.keyMaps.get(service),
            targets: service => this.directory.usable(service).map(target => this.targetOf(target)),
            owner: (id, startedAtMs) => {
                const listed = this.directory.get(id);
                return listed?.usable === true && listed.entry.startedAtMs === startedAtMs
                    ? this.targetOf(listed)
                    : undefined;
            },
            ownersAreFresh: () => this.ownersFollower.isFresh,
            random: Math.random,
        });
        const { tables } = platform;
        this.ownersFollower = this.follow({
            table: ASSIGNMENT_TABLE,
            waitMs: SHARED_WAIT_MS,
            pauseMs: () => OWNERS_CHANGES_PAUSE_MS,
            leastPauseMs: SHARED_CHANGES_PAUSE_MS,
            replaced: rows => rows.forEach(row => this.assignmentChanged(row)),
            changed: row => this.assignmentChanged(row),
        });
        this.followers = [
            this.ownersFollower,
            this.follow({
                table: tables.config,
                waitMs: RULES_WAIT_MS,
                pauseMs: () => 0,
                replaced: rows => rows.forEach(row => this.configChanged(row)),
                changed: row => this.configChanged(row),
            }),
            this.follow({
                table: tables.targets,
                waitMs: RULES_WAIT_MS,
                // The assigner takes keys from leaving targets, which should not wait.
                pauseMs: () => (this.lease.isHeld() ? ASSIGNER_CHANGES_PAUSE_MS : TARGET_CHANGES_PAUSE_MS),
                replaced: rows => this.targetsListed(rows),
                changed: row => this.entryChanged(row),
            }),
            this.follow({
                table: CRASH_TABLE,
                waitMs: SHARED_WAIT_MS,
                pauseMs: () => SHARED_CHANGES_PAUSE_MS,
                replaced: rows => rows.forEach(row => this.suspects.rowChanged(row)),
                changed: row => this.suspects.rowChanged(row),
            }),
        ];
        this.lease = new AssignerLease({
            store: platform.store,
            instance,
            incarnation: randomUUID(),
            peerAddress: options.peers === undefined ? undefined : `${options.peers.host}:${options.peers.port}`,
            clock,
            logger: loggers("ownership"),
            gained: isContinuous => {
                if (isContinuous) {
                    this.assigners.forEach(assigner => void assigner.resume());
                } else {
                    this.endAssigners();
                }
                this.updateAssigners();
            },
            // Assigners do nothing without the lease, and go on with what they know when nobody else had it meanwhile.
            lost: () => undefined,
        });
        this.log = new RequestLog({
            clock,
            logger: loggers("callers"),
            beliefs: service => this.beliefs(service),
        });
        this.observer = new GatewayMetrics(this.metrics, {
            clock,
            domain: options.domain,
            state: () => this.state(),
        });
        this.suspects = new CrashSuspects({
            clock,
            logger: loggers("dispatch"),
            ownRow: instance,
            publish: value => void this.publishCrashes(value),
        });
        this.services = {
            clock,
            place: query => this.placement.place(query),
            canPlaceAgain: (query, end) => this.placement.canPlaceAgain(query, end),
            onOwnerChange: (service, callback) => this.onOwnerChange(service, callback),
            takeRetry: service => this.retriesOf(service).take(),
            targetHeaders: platform.targetHeaders,
            factsOf: platform.factsOf,
            addressLost: target => this.assigners.get(target.listed.entry.service)?.targetEnded(target.listed),
            brokeWhileRunning: (call, target) => this.suspects.broke(call, target.id),
            refusedConnection: target => this.suspects.targetEnded(target.id),
            ended: (request, outcome) => {
                if (outcome.type === "answered") {
                    this.suspects.answered(request.call);
                }
                this.log.ended(request, outcome);
                this.observer.ended(request, outcome);
            },
        };
        this.server = createGatewayServer({
            handle: (call, reply) => this.handle(call, reply),
            fieldsOf: platform.fieldsOf,
            isReserved: platform.isReserved,
            monotonicMs: () => clock.monotonicMs(),
        });
    }

    /** Whether the balancer should send callers here. */
    isReady(): boolean {
        return (
            !this.isDraining && this.config.current !== undefined && this.followers.every(({ isLoaded }) => isLoaded)
        );
    }

    /**
     * Starts to listen and to follow the store, and tells the ports. Until a config is known, requests are refused as not
     * run.
     */
    async start(): Promise<{ callers: number; readiness: number; metrics: number | undefined }> {
        const { callers, readiness, clock, loggers, domain } = this.options;
        this.followers.forEach(follower => {
            follower.start();
            this.disposables.add(follower);
        });
        this.lease.start();
        this.disposables.add(this.lease);
        this.disposables.add(repeat(clock, DECAY_PERIOD_MS, () => this.traffic.forEach(traffic => traffic.decay())));
        this.disposables.add(repeat(clock, OUTAGE_CHECK_MS, () => this.checkOutage()));
        this.readiness = await startReadinessServer({ ...readiness, isReady: () => this.isReady() });
        const port = await this.server.listen(callers.port, callers.host);
        await this.exchangeLoad();
        const metrics = await this.serveMetrics();
        loggers("daemon").info("Started.", { domain, callers: `${callers.host}:${port}`, metrics });
        return { callers: port, readiness: this.readiness.port, metrics };
    }

    /**
     * Ends the instance: the balancer is told first, what runs is finished, and connections are closed between requests.
     */
    async shutDown(): Promise<void> {
        const { clock, loggers, graceMs } = this.options;
        const began = clock.monotonicMs();
        this.isDraining = true;
        loggers("daemon").info("Stopping.", { unfinished: this.server.unfinished() });
        void this.lease.release(async () => {
            await Promise.all([...this.assigners.values()].map(assigner => assigner.settled()));
        });
        const elapsedMs = () => clock.monotonicMs() - began;
        while (elapsedMs() < BALANCER_NOTICE_MS || (this.server.unfinished() > 0 && elapsedMs() < graceMs)) {
            this.server.startDraining();
            await new Promise<void>(resolve => clock.setTimer(DRAIN_STEP_MS, resolve));
        }
        loggers("daemon").info("Stopped.", { unfinished: this.server.unfinished(), ms: Math.round(elapsedMs()) });
        this.dispose();
    }

    dispose(): void {
        this.endAssigners();
        void this.disposables.dispose();
        this.server.dispose();
        this.readiness?.dispose();
        this.targets.forEach(target => target.dispose());
    }

    private handle(call: GatewayCall, reply: GatewayReply): () => void {
        const lookup = this.config.current;
        if (lookup === undefined) {
            return this.refuseUnrouted(call, reply, refuse("no-bundle", "No config is known yet."));
        }
        const route = lookup.find(call.host, call.url);
        if (route === undefined) {
            const detail = `No route leads to ${call.host}${call.url.slice(0, 80)}.`;
            return this.refuseUnrouted(call, reply, refuse("unknown-route", detail));
        }
        if (this.suspects.isConvicted(call)) {
            return this.refuseUnrouted(call, reply, refuse("quarantined", "Targets crashed while they ran it."));
        }
        const service = this.split.next(route);
        this.retriesOf(service).request();
        if (call.key !== undefined && lookup.service(service)?.keyed === true) {
            this.trafficOf(service).record(call.key);
        }
        const request = new GatewayRequest(call, route, service, this.measured(route.name, reply), this.services);
        request.start();
        return () => request.callerGone();
    }

    /** Refuses a request before a service is chosen for it. */
    private refuseUnrouted(call: GatewayCall, reply: GatewayReply, refusal: Refusal): () => void {
        reply.refuse(refusal);
        this.log.refused(call, refusal);
        this.observer.refused(refusal);
        return () => undefined;
    }

    private storeSilentMs(): number {
        return Math.min(...this.followers.map(follower => follower.silentMs()));
    }

    private beliefs(service: string): ServiceBeliefs {
        const owners = this.keyMaps.get(service);
        return {
            config: this.config.current?.config.version,
            fence: owners?.assignment.fence,
            ownersAgeMs:
                owners === undefined ? undefined : Math.round(this.options.clock.monotonicMs() - owners.learnedAtMs),
            storeSilentMs: Math.round(this.storeSilentMs()),
        };
    }

    private state(): GatewayState {
        return {
            configVersion: this.config.current?.config.version ?? 0,
            storeSilentMs: this.storeSilentMs(),
            isAssigner: this.lease.isHeld(),
            targets: [...this.targets.values()].map(target => ({
                service: target.listed.entry.service,
                target: target.id,
                inFlight: target.running,
            })),
            retries: [...this.retries].map(([service, budget]) => ({ service, available: budget.available() })),
        };
    }

    private async exchangeLoad(): Promise<void> {
        const { peers, clock, loggers } = this.options;
        if (peers === undefined) {
            return;
        }
        const exchange = new LoadExchange({
            address: peers,
            clock,
            logger: loggers("peers"),
            assigner: () => parsePeerAddress(this.lease.assignerAddress),
            collect: () => this.collectLoad(),
            received: report => this.learnLoad(report),
        });
        this.disposables.add(exchange);
        await exchange.start();
    }

    /** What this instance saw of services whose keys are assigned, since the last call. */
    private collectLoad(): LoadReport[] {
        const targets = [...this.targets.values()];
        return [...this.traffic].map(([service, traffic]) => ({
            service,
            keys: traffic.takeUnreported(),
            targets: targets
                .filter(target => target.listed.entry.service === service)
                .flatMap(target => target.takeReport() ?? []),
        }));
    }

    private learnLoad({ service, keys, targets }: LoadReport): void {
        if (this.config.current?.service(service)?.keyed !== true) {
            return;
        }
        const traffic = this.trafficOf(service);
        keys.forEach(([key, requests]) => traffic.add(key, requests));
        for (const report of targets) {
            const listed = this.directory.get(report.id);
            if (listed?.entry.service === service && listed.entry.startedAtMs === report.startedAtMs) {
                this.targetOf(listed).learn(report);
            }
        }
    }

    /** Serves the metrics. An address that is taken costs the metrics, not the service. */
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

    /** Learns the size of answers on their way. */
    private measured(route: string, reply: GatewayReply): GatewayReply {
        return {
            ...reply,
            answer: (head, body) => {
                this.placement.answered(
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
        pauseMs: () => number;
        leastPauseMs?: number;
        replaced: (rows: StoredRow[]) => void;
        changed: (row: StoredRow) => void;
    }): TableFollower {
        const { table, waitMs, pauseMs, leastPauseMs, replaced, changed } = options;
        const { clock, loggers, platform } = this.options;
        return new TableFollower({
            store: platform.store,
            table,
            clock,
            logger: loggers("platform"),
            waitMs,
            pauseMs,
            leastPauseMs,
            followed: { replaced, changed, regained: () => this.checkOutage() },
        });
    }

    private configChanged(row: StoredRow): void {
        if (row.key === this.options.platform.tables.configKey && row.value !== undefined) {
            this.config.take(this.options.platform.decodeConfig(row.value));
        }
    }

    private targetsListed(rows: StoredRow[]): void {
        const listed = new Set(rows.map(({ key }) => key));
        for (const { entry } of [...this.directory.all()]) {
            if (!listed.has(entry.id)) {
                this.directory.entryGone(entry.id);
            }
        }
        rows.forEach(row => this.entryChanged(row));
    }

    private entryChanged(row: StoredRow): void {
        const entry = row.value === undefined ? undefined : this.options.platform.decodeTarget(row.key, row.value);
        if (entry !== undefined) {
            this.directory.put(entry);
            return;
        }
        if (row.value !== undefined) {
            this.options.loggers("platform").warn("An entry names no usable target.", { entry: row.key });
        }
        this.directory.entryGone(row.key);
    }

    /** Writes what this instance saw of crashes. A lost report costs a crash more, so it isn't repeated. */
    private async publishCrashes(value: Buffer): Promise<void> {
        const { platform, instance: key } = this.options;
        const { store } = platform;
        const row = await store.row(CRASH_TABLE, key);
        if (row.isErr()) {
            this.options.loggers("dispatch").warn("Crashes couldn't be reported.", { cause: row.error.type });
            return;
        }
        const expected = [{ table: CRASH_TABLE, key, version: row.value.row?.version ?? 0 }];
        const written = await store.transact({ expected, puts: [{ table: CRASH_TABLE, key, value }] });
        if (written.isErr() || written.value.type !== "committed") {
            this.options.loggers("dispatch").warn("Crashes may not have been reported.", { row: key });
        }
    }

    private assignmentChanged(row: StoredRow): void {
        if (row.value === undefined) {
            return;
        }
        const assignment = decodeAssignment(row.value);
        if (assignment === undefined) {
            this.options.loggers("ownership").error("An assignment can't be read.", { row: row.key });
            return;
        }
        const { service, fence } = assignment;
        if (fence < (this.keyMaps.get(service)?.assignment.fence ?? 0)) {
            return;
        }
        this.keyMaps.set(service, new KeyMap(assignment, this.options.clock.monotonicMs()));
        const waits = this.ownerWaits.get(service);
        this.ownerWaits.delete(service);
        waits?.forEach(callback => callback());
    }

    private onOwnerChange(service: string, callback: () => void): () => void {
        const waits = this.ownerWaits.get(service) ?? new Set();
        this.ownerWaits.set(service, waits.add(callback));
        this.ownersFollower.hurry();
        return () => waits.delete(callback);
    }

    private targetChanged(listed: DirectoryTarget): void {
        if (listed.gone) {
            this.suspects.targetEnded(listed.entry.id);
            const target = this.targets.get(listed);
            this.targets.delete(listed);
            this.observer.targetGone(listed.entry.id);
            // Requests that it still runs are answered before its connections are closed.
            this.options.clock.setTimer(this.options.graceMs, () => target?.dispose());
        }
    }

    private targetOf(listed: DirectoryTarget): GatewayTarget {
        const known = this.targets.get(listed);
        if (known !== undefined) {
            return known;
        }
        const { clock, domain } = this.options;
        const limit = this.config.current?.service(listed.entry.service)?.connectionLimit ?? 100;
        const connections = Math.max(4, Math.floor((limit * CONNECTION_SHARE) / ASSUMED_INSTANCES));
        const target = new GatewayTarget(listed, clock, listed.entry.domain === domain, connections);
        this.targets.set(listed, target);
        return target;
    }

    private trafficOf(service: string): KeyTraffic {
        const traffic = this.traffic.get(service) ?? new KeyTraffic();
        this.traffic.set(service, traffic);
        return traffic;
    }

    private retriesOf(service: string): RetryBudget {
        const known = this.retries.get(service);
        if (known !== undefined) {
            return known;
        }
        const budget = new RetryBudget(this.options.clock, {
            share: RETRY_SHARE,
            minimum: MINIMUM_RETRIES,
            idlePerSecond: IDLE_RETRIES_PER_SECOND,
        });
        this.retries.set(service, budget);
        return budget;
    }

    private checkOutage(): void {
        this.directory.setOutage(
            this.followers.some(follower => follower.isFailing && follower.silentMs() > OUTAGE_MS),
        );
    }

    private updateAssigners(): void {
        const lookup = this.config.current;
        if (!this.lease.isHeld() || lookup === undefined) {
            return;
        }
        const { platform, clock, loggers, maxHoldMs } = this.options;
        for (const { name, keyed } of lookup.config.services) {
            if (!keyed || this.assigners.has(name)) {
                continue;
            }
            const assigner = new KeyAssigner({
                service: name,
                store: platform.store,
                calls: platform.calls,
                clock,
                logger: loggers("ownership"),
                lease: this.lease,
                targets: () => [...this.directory.all()].filter(({ entry }) => entry.service === name),
                allTargets: () => this.directory.all(),
                measure: listed => this.targetOf(listed).measure(),
                weights: () => this.trafficOf(name).weights(),
                holdMs: Math.min(DEFAULT_HOLD_MS, maxHoldMs),
            });
            this.assigners.set(name, assigner);
            void assigner.start();
        }
    }

    private endAssigners(): void {
        this.assigners.forEach(assigner => assigner.dispose());
        this.assigners.clear();
    }
}
