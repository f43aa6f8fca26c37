import type { AnswerSink, DispatchedRequest } from "../../connection/answerSink.js";
import type { OpenFrame } from "../../connection/peerProtocol.js";
import { TargetConnections } from "../../connection/targetConnections.js";
import { refuse, type Refusal } from "../../request/refusal.js";
import { TargetTask, type SendResult } from "../../request/targetTask.js";
import type { BundleService } from "../../version/bundle.js";
import { ArrivalHold } from "./arrivalHold.js";
import { UnansweredSends } from "./unansweredSends.js";
import { classifyTargetFailure, type TargetFailureObservation } from "./classifyTargetFailure.js";
import { DispatchedLoad, type HandedOverLoad, type MovedLoad, type ReportedLoad } from "../balance/dispatchedLoad.js";
import type { DispatchServices } from "./dispatchServices.js";
import type { EarlierRuns } from "../membership/earlierRuns.js";
import { GrantContent } from "../ownership/grantContent.js";
import { GrantKeeper, type TargetLoss, type TargetReport } from "../ownership/grantKeeper.js";
import { HeldTasks } from "./heldTasks.js";
import { AtMostOnceAdmission } from "../records/atMostOnceAdmission.js";
import { targetRowKey, targetRowSchema, type Slice, type TargetRow } from "../store/rows.js";
import { SendWatch } from "./sendWatch.js";
import { slicesContain } from "../ownership/sliceMap.js";
import { TargetRuns } from "./targetRuns.js";
import { TargetScheduler } from "./targetScheduler.js";
import { TargetSender } from "./targetSender.js";

/** Reasons for which a target refuses a request when its grant differs from the one its dispatcher assumes. */
const GRANT_MISMATCH_REASONS = new Set(["stale-term", "not-owner", "grant-expired"]);
/** Expected duration of the drain of a slice, in mean service times. */
const DRAIN_SERVICE_TIMES = 3;

/** Events that a dispatcher reports about its target. */
export interface TargetDispatcherEvents {
    targetLost: (dispatcher: TargetDispatcher, loss: TargetLoss) => void;
    targetDraining: (dispatcher: TargetDispatcher) => void;
}

/**
 * Dispatches all requests for one target while the target's row names this instance as its dispatcher.
 *
 * @example
 * const dispatcher = new TargetDispatcher(service, row, services);
 * dispatcher.dispatch(open, sink);
 */
export class TargetDispatcher {
    readonly key: string;
    readonly service: BundleService;
    readonly target: string;
    readonly address: string;
    readonly keeper: GrantKeeper;
    readonly scheduler: TargetScheduler<TargetTask>;
    private readonly load: DispatchedLoad;
    private readonly connections: TargetConnections;
    private readonly runs: TargetRuns;
    private readonly arrivals: ArrivalHold;
    /** Requests that wait until the target refuses the former dispatcher. */
    private readonly heldForFence: HeldTasks;
    private readonly content: GrantContent;
    private readonly admission: AtMostOnceAdmission;
    private readonly broken: UnansweredSends;
    private readonly sender: TargetSender;
    private awaitsFence: boolean;
    private openTasks = 0;
    private disposed = false;
    private draining = false;
    private ready = false;
    private lapsedSince: number | undefined;
    private lastReport: TargetReport | undefined;
    /** Counters of requests and sends, for metrics and tests of the retry budget. */
    readonly counters = { requests: 0, sends: 0, retries: 0, silentConnections: 0, crashes: 0 };

    constructor(
        service: BundleService,
        row: TargetRow,
        private readonly services: DispatchServices & TargetDispatcherEvents,
        /** Former dispatcher from which the target was taken over without a handover; empty if there was none. */
        readonly formerDispatcher: string,
    ) {
        this.awaitsFence = formerDispatcher !== "";
        this.service = service;
        this.target = row.target;
        this.address = row.address;
        this.key = targetRowKey(row.service, row.target);
        this.connections = new TargetConnections(row.address, services.clock, {
            limit: services.limits.connectionsPerTarget,
        });
        this.load = new DispatchedLoad(services.clock);
        this.arrivals = new ArrivalHold(services.clock);
        this.heldForFence = new HeldTasks(services.clock);
        this.runs = new TargetRuns(services.clock);
        const { replica, incarnation } = services;
        this.content = new GrantContent({ targetKey: this.key, replica, incarnation });
        this.admission = new AtMostOnceAdmission({
            clock: services.clock,
            service,
            targetKey: this.key,
            records: services.records,
            rowVersion: () => services.replica.row(this.key)?.version ?? 0,
            ownRows: () => this.ownRows(),
            submit: task => this.submit(task),
        });
        this.scheduler = new TargetScheduler<TargetTask>(services.clock, {
            slots: Math.min(service.slots, services.limits.connectionsPerTarget),
            maxWaiting: services.limits.queueLength,
        });
        this.scheduler.pause();
        this.keeper = new GrantKeeper({
            address: row.address,
            checked: service.grants === "checked",
            clock: services.clock,
            coarse: services.coarse,
            runningMs: services.runningMs,
            content: () => this.content.current(),
            lastsUntil: services.grantsUntil,
            ttlMs: services.timing.grantTtlMs,
            periodMs: services.timing.grantPeriodMs,
            timeoutMs: services.timing.probeTimeoutMs,
            lossSilenceMs: services.timing.targetSilenceMs,
            refusedRetryMs: services.timing.refusalGapMs,
            marginMs: services.timing.grantMarginMs,
            probePeriodMs: services.timing.probePeriodMs,
            events: {
                granted: () => this.granted(),
                superseded: term =>
                    services.log.warn("The target has a grant of a higher term.", { target: this.target, term }),
                restarted: bootBefore => this.targetRestarted(bootBefore),
                lost: loss => this.targetLost(loss),
                recovered: () => services.log.info("A lost target answers again.", { target: this.target }),
                reported: report => this.reported(report),
            },
        });
        this.broken = new UnansweredSends({
            clock: services.clock,
            bootIdentifier: () => this.keeper.bootIdentifier,
            probe: async () =>
                (await this.keeper.announce())
                    ? { type: "answered", boot: this.keeper.bootIdentifier }
                    : { type: "no-answer" },
            mayRetry: () => this.takeRetry(),
            submit: task => this.submit(task),
        });
        const watch = new SendWatch({
            clock: services.clock,
            keeper: this.keeper,
            connections: this.connections,
            routeP99Ms: route => this.scheduler.routeFigures(route)?.p99Ms ?? 0,
            isSending: task => !this.disposed && this.runs.has(task),
            silentConnection: () => {
                this.counters.silentConnections++;
            },
            mayRetry: () => this.takeRetry(),
            lateAnswerMs: services.timing.lateAnswerMs,
        });
        this.sender = new TargetSender({
            service,
            targetKey: this.key,
            services,
            keeper: this.keeper,
            connections: this.connections,
            scheduler: this.scheduler,
            runs: this.runs,
            watch,
            row: () => (this.disposed ? undefined : this.row()),
            isHeld: task => this.arrivals.isHeld(task),
            authorityUntil: () => this.authorityUntil(),
            bounce: task => this.bounce(task),
            resubmitLater: task => this.broken.resubmitLater(task),
            counters: this.counters,
        });
        this.load.setSlices(row.slices);
        this.keeper.start();
    }

    /** Load of the target, for the planner of its service. */
    loadReport(): ReportedLoad {
        const { limit, meanServiceMs } = this.scheduler.snapshot();
        this.load.recordCapacity(limit);
        return this.load.report(meanServiceMs * DRAIN_SERVICE_TIMES);
    }

    /** Adds the work that the former dispatcher recorded for slices that have moved to this target. */
    addMovedLoad(moved: Pick<MovedLoad, "slices" | "hotKeys">): void {
        this.load.addMovedLoad(this.row()?.slices ?? [], moved);
    }

    /** Continues from the work that the former dispatcher of the target recorded. */
    resumeLoad(earlier: HandedOverLoad): void {
        this.load.resume(this.row()?.slices ?? [], earlier);
    }

    /** Recorded work of slices that move away, for their next dispatcher. */
    loadOf(slices: readonly Slice[]): Pick<MovedLoad, "slices" | "hotKeys"> {
        return this.load.loadOf(slices);
    }

    /** The target's row while this instance is its dispatcher. */
    row(): TargetRow | undefined {
        const row = this.services.replica.get(this.key, targetRowSchema);
        return row?.value.dispatcher === this.services.incarnation() ? row.value : undefined;
    }

    /** Whether requests are currently sent to the target. */
    get isReady(): boolean {
        return this.ready;
    }

    get isDraining(): boolean {
        return this.draining;
    }

    /** Last report of the target about itself; may be out of date or wrong. */
    get report(): TargetReport | undefined {
        return this.lastReport;
    }

    /** Adds the requests that the former dispatcher has in flight at the target. */
    expectEarlierRuns(earlier: EarlierRuns): void {
        this.runs.expectEarlier(earlier);
    }

    /** Records that a request of the former dispatcher has ended or can no longer run. */
    earlierRunEnded(position: number): void {
        this.runs.earlierEnded(position);
    }

    /** Requests that this dispatcher has in flight at the target, for the next dispatcher. */
    earlierRuns(): EarlierRuns {
        return this.runs.earlier();
    }

    /** Latest time at which a request that was sent to the target can still run, as monotonic time in milliseconds. */
    get runsUntil(): number {
        return this.runs.runsUntil;
    }

    /** Whether the target has acknowledged a grant of this instance, so that it refuses earlier dispatchers. */
    get hasFenced(): boolean {
        return !this.awaitsFence;
    }

    /** Monotonic time in milliseconds until which requests whose answers aren't awaited any more may run at the target. */
    get abandonedUntil(): number {
        return this.runs.abandonedUntil;
    }

    /**
     * Whether connections to the target broke and it isn't known yet whether it crashed. Only this dispatcher knows which
     * requests it ran.
     */
    get mayHaveCrashed(): boolean {
        return this.broken.awaitsTargetState;
    }

    /** Number of requests that have arrived and not ended. */
    get openRequests(): number {
        return this.openTasks;
    }

    /** Number of requests of this dispatcher that run at the target, as far as it is known. */
    get inFlight(): number {
        return this.runs.size;
    }

    /** Accepts a request for this target. The sink receives the answer or a refusal. */
    dispatch(open: OpenFrame, sink: AnswerSink): DispatchedRequest {
        this.counters.requests++;
        this.openTasks++;
        const fingerprint = Buffer.from(open.fingerprint).toString("hex");
        const task = new TargetTask(open, sink, {
            deadlineAt: this.services.clock.monotonicMs() + open.deadlineMs,
            suspect: false,
            fingerprint,
            windowBytes: this.services.limits.streamWindowBytes,
            events: {
                start: started => this.sender.send(started),
                sendEnded: (ended, result) => this.sendEnded(ended, result),
                left: () => {
                    this.openTasks--;
                },
            },
        });
        const refusal = this.refusalAtArrival(open, fingerprint);
        if (refusal !== undefined) {
            task.refuseWith(refusal, this.ownRows());
        } else if (open.idempotent) {
            this.submit(task);
        } else {
            this.admitOnce(task);
        }
        return {
            cancel: () => {
                this.scheduler.cancel(task);
                this.arrivals.tasks.delete(task);
                this.heldForFence.delete(task);
                this.broken.delete(task);
                task.callerLeft();
            },
            credit: bytes => task.credit(bytes),
        };
    }

    /** Stops admitting requests for slices that will move; new requests for them wait. */
    hold(slices: readonly Slice[]): void {
        this.arrivals.add(slices);
        this.holdWaiting();
    }

    /** Stops admitting requests before the target is handed over to another dispatcher; new requests wait. */
    holdAll(): void {
        this.arrivals.holdsAll = true;
        this.holdWaiting();
    }

    private holdWaiting(): void {
        this.scheduler.removeIf(task => this.arrivals.isHeld(task)).forEach(task => this.arrivals.tasks.add(task));
    }

    /** Ends `hold`. Requests that waited are submitted again, or routed elsewhere if their slice has moved. */
    unhold(slices: readonly Slice[]): void {
        this.arrivals.remove(slices);
        this.offerHeld();
    }

    /** Ends `holdAll`. */
    unholdAll(): void {
        this.arrivals.holdsAll = false;
        this.offerHeld();
    }

    /** Slices whose new requests wait. */
    get heldPositions(): readonly Slice[] {
        return this.arrivals.positions;
    }

    private offerHeld(): void {
        this.arrivals.tasks.take().forEach(task => this.submit(task));
    }

    /** Positions within the slices that have requests in flight. */
    busyPositions(slices: readonly Slice[]): number[] {
        return this.runs.busyPositions(slices);
    }

    /** Resolves to true when no request of the slices is in flight, or to false after `timeoutMs` milliseconds. */
    drained(slices: readonly Slice[], timeoutMs: number): Promise<boolean> {
        return this.runs.drained(slices, timeoutMs);
    }

    /** Applies a change of the target's row: announces it to the target and reroutes the requests of moved slices. */
    rowChanged(): void {
        const row = this.row();
        if (row === undefined || this.disposed) {
            return;
        }
        this.load.setSlices(row.slices);
        const isForeign = (task: TargetTask) => !task.open.anyOwner && !slicesContain(row.slices, task.position);
        this.scheduler.removeIf(isForeign).forEach(task => this.bounce(task));
        this.arrivals.tasks.take(isForeign).forEach(task => this.bounce(task));
        if (this.keeper.lost) {
            // The lost target won't answer these requests, but their new owner can. An answer that has started can't be
            // continued by another target, and its rest may still arrive.
            this.runs
                .all()
                .filter(task => task.open.idempotent && !task.hasAnswerStarted && isForeign(task))
                .forEach(task => task.abortSend("moved"));
        }
        void this.keeper.announce();
    }

    /** Checks whether the authority to send has expired; must be called frequently. */
    tick(): void {
        const now = this.services.clock.monotonicMs();
        const lapsed = this.authorityUntil() <= now;
        this.lapsedSince = lapsed ? (this.lapsedSince ?? now) : undefined;
        if (lapsed && this.ready) {
            this.setReady(false);
        } else if (!lapsed && !this.ready && this.hasGrant() && !this.keeper.lost) {
            this.setReady(true);
        }
    }

    /** Marks the target as draining: no new requests are sent to it. */
    drain(): void {
        if (!this.draining) {
            this.draining = true;
            this.services.targetDraining(this);
        }
    }

    /** Stops dispatching. Waiting requests are routed elsewhere; requests in flight run to their end. */
    dispose(): void {
        if (this.disposed) {
            return;
        }
        this.disposed = true;
        this.scheduler.removeIf(() => true).forEach(task => this.bounce(task));
        [...this.arrivals.tasks.take(), ...this.heldForFence.take(), ...this.broken.take()].forEach(task =>
            this.bounce(task),
        );
        this.scheduler.dispose();
        this.keeper.dispose();
        this.disposeWhenIdle();
    }

    private disposeWhenIdle(): void {
        if (this.disposed && this.runs.size === 0) {
            this.connections.dispose();
        }
    }

    /** Grants the target all slices except these, until `undoRelease`. Resolves to true when the target acknowledges. */
    async release(slices: readonly Slice[]): Promise<boolean> {
        this.content.release(slices);
        return this.service.grants === "unchecked" ? true : this.keeper.announce();
    }

    /** Grants released slices again, after a move that was not carried out or when its rows have taken effect. */
    undoRelease(): void {
        this.content.undoRelease();
    }

    private refusalAtArrival(open: OpenFrame, fingerprint: string): Refusal | undefined {
        const row = this.row();
        if (this.disposed || row === undefined) {
            return refuse("not-dispatcher", "This instance doesn't dispatch for the target.");
        }
        if (!open.anyOwner && !slicesContain(row.slices, open.position)) {
            return refuse("not-dispatcher", "The target doesn't own the key.");
        }
        if (this.services.quarantine.stateOf(fingerprint) === "convicted") {
            return refuse("quarantined", "It was in flight at two crashes of targets.");
        }
        const now = this.services.clock.monotonicMs();
        if (this.lapsedSince !== undefined && now - this.lapsedSince > 500) {
            return refuse("lease-lapsed", "The domain's members can't be heard.");
        }
        return undefined;
    }

    /** Admits a non-idempotent request through the record of admitted requests. */
    private admitOnce(task: TargetTask): void {
        if (this.awaitsFence && this.service.grants === "checked") {
            this.heldForFence.add(task);
        } else {
            this.admission.admit(task);
        }
    }

    private submit(task: TargetTask): void {
        if (task.isFinished) {
            return;
        }
        const row = this.row();
        const isOwner =
            row !== undefined && (task.open.anyOwner ? !this.draining : slicesContain(row.slices, task.position));
        if (this.disposed || !isOwner) {
            this.bounce(task);
            return;
        }
        if (this.arrivals.isHeld(task)) {
            this.arrivals.tasks.add(task);
            return;
        }
        task.suspect = this.services.quarantine.stateOf(task.fingerprint) === "suspect";
        this.scheduler.submit(task);
    }

    /** Returns a request to the instance that received it, which routes it again by the newer rows. */
    private bounce(task: TargetTask): void {
        task.refuseWith(refuse("not-dispatcher", "The key or the target has moved."), this.ownRows());
    }

    private ownRows() {
        const row = this.services.replica.row(this.key);
        return row === undefined ? [] : [row];
    }

    private hasGrant(): boolean {
        return this.service.grants === "unchecked"
            ? this.keeper.targetTime(0) !== undefined
            : this.keeper.granted() !== undefined;
    }

    /** Monotonic time in milliseconds until which this instance may send to the target. */
    private authorityUntil(): number {
        return this.service.grants === "unchecked" ? this.services.leaseUntil() : this.services.grantsUntil();
    }

    private granted(): void {
        if (!this.disposed) {
            this.fence();
            this.tick();
        }
    }

    /** After an unplanned takeover, requests may be admitted only when the target refuses the former dispatcher. */
    private fence(): void {
        if (!this.awaitsFence) {
            return;
        }
        this.awaitsFence = false;
        const row = this.row();
        if (row !== undefined && this.service.grants === "checked") {
            this.services.records().fenced(this.service, row.slices);
        }
        this.heldForFence.take().forEach(task => this.admitOnce(task));
    }

    private setReady(ready: boolean): void {
        this.ready = ready;
        if (ready) {
            this.scheduler.resume();
        } else {
            this.scheduler.pause();
        }
    }

    private sendEnded(task: TargetTask, result: SendResult): void {
        const serviceMs = this.services.clock.monotonicMs() - task.sentAt;
        this.runs.delete(task);
        task.inFlight = false;
        if (this.disposed && !task.open.anyOwner) {
            this.services.runEndedAfterHandOver({ target: this.key, position: task.position });
        }
        const shed = result.type === "not-run" && result.reason === "shed";
        const outcome = result.type === "answered" ? "completed" : shed ? "shed" : "failed";
        this.scheduler.finished(task, { outcome, serviceMs });
        if (result.type === "answered") {
            if (!task.open.anyOwner) {
                this.load.record(task.position, serviceMs);
                this.load.recordCapacity(this.scheduler.currentLimit());
            }
            task.quarantineRun?.finish();
        } else {
            this.handleUnansweredSend(task, result);
        }
        this.disposeWhenIdle();
    }

    private handleUnansweredSend(task: TargetTask, result: Exclude<SendResult, { type: "answered" }>): void {
        if (result.type === "failed") {
            const cause = result.cause ?? result.failure.type;
            this.services.log.debug("A send to a target failed.", {
                trace: task.open.trace,
                target: this.target,
                cause,
            });
            if (result.sent) {
                this.runs.markAbandoned(task);
            }
        } else if (
            result.type === "abandoned"
                ? result.reason !== "deadline-passed"
                : GRANT_MISMATCH_REASONS.has(result.reason)
        ) {
            void this.keeper.announce();
        } else if (result.type === "not-run" && result.reason === "draining") {
            this.drain();
        }
        this.broken.add(task, result);
    }

    /** Handles the possible end of the target's process with this boot identifier; `probe` was made after it. */
    private targetFailed(boot: string, probe: TargetFailureObservation["probe"]): void {
        const { quarantine, log } = this.services;
        const brokenConnections = quarantine.openRuns(this.key, boot);
        const failure = classifyTargetFailure({ bootBefore: boot || undefined, probe, brokenConnections });
        // Connections that have not yet reported their end belong to the ended process, too. What it wrote before its
        // end may still be in transit, so answers that have started are left to their connections and deadlines.
        const unanswered = this.runs.all().filter(task => !task.hasAnswerStarted);
        if (failure === "crash") {
            this.counters.crashes++;
            quarantine.targetCrashed(this.key, boot).convicted.forEach(fingerprint =>
                // The fingerprint is part of the message because the logger only counts repeats of a message for some
                // seconds instead of writing them.
                log.warn(`A request is quarantined after a second crash: ${fingerprint}.`),
            );
        }
        unanswered.forEach(task => task.abortSend("crash"));
        this.broken.targetCrashed();
    }

    private takeRetry(): boolean {
        const taken = this.services.retryBudget(this.service.name).take();
        this.counters.retries += taken ? 1 : 0;
        return taken;
    }

    private targetRestarted(bootBefore: string): void {
        this.connections.closeIdleBefore(Infinity);
        this.scheduler.startCold();
        this.targetFailed(bootBefore, { type: "answered", boot: this.keeper.bootIdentifier });
    }

    private targetLost(loss: TargetLoss): void {
        this.services.log.warn("A target is lost.", { target: this.target, loss });
        this.setReady(false);
        if (loss === "refused") {
            this.targetFailed(this.keeper.bootIdentifier, { type: "refused" });
        }
        this.services.targetLost(this, loss);
    }

    private reported(report: TargetReport): void {
        this.lastReport = report;
        if (report.state === "draining") {
            this.drain();
        }
    }
}
