import type { AnswerSink, DispatchedRequest } from "../../connection/answerSink.js";
import type { OpenFrame } from "../../connection/peerProtocol.js";
import { TargetConnections } from "../../connection/targetConnections.js";
import { refuse, type Refusal } from "../../request/refusal.js";
import { TargetTask, type SendResult } from "../../request/targetTask.js";
import type { BundleService } from "../../version/bundle.js";
import { ArrivalHold } from "./arrivalHold.js";
import { BrokenSends } from "./brokenSends.js";
import { classifyTargetFailure, type TargetFailureObservation } from "./classifyTargetFailure.js";
import { DispatchedLoad, type HandedOverLoad, type MovedLoad, type ReportedLoad } from "../balance/dispatchedLoad.js";
import type { DispatchServices } from "./dispatchServices.js";
import type { EarlierRuns } from "../membership/earlierRuns.js";
import { GrantContent } from "../ownership/grantContent.js";
import { GrantKeeper, type TargetLoss, type TargetReport } from "../ownership/grantKeeper.js";
import { HeldTasks } from "./heldTasks.js";
import { OnceAdmission } from "../records/onceAdmission.js";
import { targetRowKey, targetRowSchema, type Slice, type TargetRow } from "../store/rows.js";
import { SendWatch } from "./sendWatch.js";
import { slicesContain } from "../ownership/sliceMap.js";
import { TargetRuns } from "./targetRuns.js";
import { TargetScheduler } from "./targetScheduler.js";
import { TargetSender } from "./targetSender.js";

/** Reasons for which a target refuses a request when its grant differs from what its dispatcher takes it to be. */
const GRANT_REASONS = new Set(["stale-term", "not-owner", "grant-expired"]);
/** Mean service times that the drain of a slice is expected to take. */
const DRAIN_SERVICE_TIMES = 3;

/** What a dispatcher tells about its target. */
export interface TargetDispatcherEvents {
    targetLost: (dispatcher: TargetDispatcher, loss: TargetLoss) => void;
    targetDraining: (dispatcher: TargetDispatcher) => void;
}

/**
 * Dispatches all requests for one target while this instance is the one named in the target's row.
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
    /** Requests that wait for the fence of the former dispatcher. */
    private readonly heldForFence: HeldTasks;
    private readonly content: GrantContent;
    private readonly admission: OnceAdmission;
    private readonly broken: BrokenSends;
    private readonly sender: TargetSender;
    private awaitsFence: boolean;
    private openTasks = 0;
    private disposed = false;
    private draining = false;
    private ready = false;
    private lapsedSince: number | undefined;
    private lastReport: TargetReport | undefined;
    /** Counts of what became of requests, for metrics and tests of the retry budget. */
    readonly counters = { requests: 0, sends: 0, retries: 0, silentConnections: 0, crashes: 0 };

    constructor(
        service: BundleService,
        row: TargetRow,
        private readonly services: DispatchServices & TargetDispatcherEvents,
        /** Dispatcher from which the target was taken without a hand-over; empty if there was none. */
        readonly takenFrom: string,
    ) {
        this.awaitsFence = takenFrom !== "";
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
        this.admission = new OnceAdmission({
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
        this.broken = new BrokenSends({
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
            offerAgain: task => this.broken.offerAgain(task),
            counters: this.counters,
        });
        this.load.setSlices(row.slices);
        this.keeper.start();
    }

    /** The target's load for the planner of its service. */
    loadReport(): ReportedLoad {
        const { limit, meanServiceMs } = this.scheduler.snapshot();
        this.load.noteCapacity(limit);
        return this.load.report(meanServiceMs * DRAIN_SERVICE_TIMES);
    }

    /** Takes over the work that a former dispatcher counted for slices which have moved here. */
    takeLoad(moved: Pick<MovedLoad, "slices" | "hotKeys">): void {
        this.load.take(this.row()?.slices ?? [], moved);
    }

    /** Continues from the work that the former dispatcher of the target counted. */
    resumeLoad(earlier: HandedOverLoad): void {
        this.load.resume(this.row()?.slices ?? [], earlier);
    }

    /** The work of slices that move away, for their next dispatcher. */
    loadOf(slices: readonly Slice[]): Pick<MovedLoad, "slices" | "hotKeys"> {
        return this.load.partOf(slices);
    }

    /** The target's row while this instance is its dispatcher. */
    row(): TargetRow | undefined {
        const row = this.services.replica.get(this.key, targetRowSchema);
        return row?.value.dispatcher === this.services.incarnation() ? row.value : undefined;
    }

    /** Whether requests are sent to the target at present. */
    get isReady(): boolean {
        return this.ready;
    }

    get isDraining(): boolean {
        return this.draining;
    }

    /** The target's last report of itself; it may lag or mislead. */
    get report(): TargetReport | undefined {
        return this.lastReport;
    }

    /** Takes over what the former dispatcher has running at the target. */
    expectEarlierRuns(earlier: EarlierRuns): void {
        this.runs.expectEarlier(earlier);
    }

    /** A request of the former dispatcher has ended, or can't run any more. */
    earlierRunEnded(position: number): void {
        this.runs.earlierEnded(position);
    }

    /** What runs at the target on behalf of this dispatcher, for the next one. */
    earlierRuns(): EarlierRuns {
        return this.runs.earlier();
    }

    /** Latest time at which a request that was handed to the target can still run, in monotonic milliseconds. */
    get runsUntil(): number {
        return this.runs.runsUntil;
    }

    /** Whether the target has acknowledged a grant of this instance, so that it refuses earlier dispatchers. */
    get hasFenced(): boolean {
        return !this.awaitsFence;
    }

    /** Until when requests whose answers were given up may still run on the target, in monotonic milliseconds. */
    get abandonedUntil(): number {
        return this.runs.abandonedUntil;
    }

    /** Requests that have come in and not ended. */
    get openRequests(): number {
        return this.openTasks;
    }

    /** Requests that the target runs at present as far as is known. */
    get inFlight(): number {
        return this.runs.size;
    }

    /** Takes a request for this target. The sink gets the answer or a refusal. */
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

    /** Stops admitting requests for slices that are to move; arrivals wait. */
    hold(slices: readonly Slice[]): void {
        this.arrivals.add(slices);
        this.withholdArrivals();
    }

    /** Stops admitting requests before the target is handed over to another dispatcher; arrivals wait. */
    holdAll(): void {
        this.arrivals.isTotal = true;
        this.withholdArrivals();
    }

    private withholdArrivals(): void {
        this.scheduler.withhold(task => this.arrivals.isHeld(task)).forEach(task => this.arrivals.tasks.add(task));
    }

    /** Admits slices again; requests that waited are offered again, or routed elsewhere if their slice has moved. */
    unhold(slices: readonly Slice[]): void {
        this.arrivals.remove(slices);
        this.offerHeld();
    }

    /** Ends `holdAll`. */
    unholdAll(): void {
        this.arrivals.isTotal = false;
        this.offerHeld();
    }

    /** Slices for which arrivals wait. */
    get heldPositions(): readonly Slice[] {
        return this.arrivals.positions;
    }

    private offerHeld(): void {
        this.arrivals.tasks.take().forEach(task => this.submit(task));
    }

    /** Positions of the slices with requests in flight. */
    busyPositions(slices: readonly Slice[]): number[] {
        return this.runs.busyPositions(slices);
    }

    /** Resolves when no request of the slices is in flight: true, or false after `timeoutMs`. */
    drained(slices: readonly Slice[], timeoutMs: number): Promise<boolean> {
        return this.runs.drained(slices, timeoutMs);
    }

    /** Follows a change of the target's row: announces it to the target and sends moved requests elsewhere. */
    rowChanged(): void {
        const row = this.row();
        if (row === undefined || this.disposed) {
            return;
        }
        this.load.setSlices(row.slices);
        const isForeign = (task: TargetTask) => !task.open.anyOwner && !slicesContain(row.slices, task.position);
        this.scheduler.withhold(isForeign).forEach(task => this.bounce(task));
        this.arrivals.tasks.take(isForeign).forEach(task => this.bounce(task));
        if (this.keeper.lost) {
            // The new owner can answer what the lost target no longer will.
            this.runs
                .all()
                .filter(task => task.open.idempotent && isForeign(task))
                .forEach(task => task.abortSend("moved"));
        }
        void this.keeper.announce();
    }

    /** Checks the lease; to be called often. */
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

    /** Marks the target as leaving: nothing new is sent to it. */
    drain(): void {
        if (!this.draining) {
            this.draining = true;
            this.services.targetDraining(this);
        }
    }

    /** Ends dispatching. Waiting requests are routed elsewhere; those in flight end by themselves. */
    dispose(): void {
        if (this.disposed) {
            return;
        }
        this.disposed = true;
        this.scheduler.withhold(() => true).forEach(task => this.bounce(task));
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

    /** Grants the target all slices but these, until `undoRelease`. True when the target has acknowledged it. */
    async release(slices: readonly Slice[]): Promise<boolean> {
        this.content.release(slices);
        return this.service.grants === "unchecked" ? true : this.keeper.announce();
    }

    /** Grants released slices again, after a move that didn't take place or when its rows are in force. */
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

    /** Passes a non-idempotent request through the record of those that have been admitted. */
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

    /** Gives a request back to the instance that received it, which routes it by the newer rows. */
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

    /** Monotonic milliseconds until which this instance may send to the target. */
    private authorityUntil(): number {
        return this.service.grants === "unchecked" ? this.services.leaseUntil() : this.services.grantsUntil();
    }

    private granted(): void {
        if (!this.disposed) {
            this.fence();
            this.tick();
        }
    }

    /** After an unplanned takeover, requests may be admitted only once the target refuses the old dispatcher. */
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
                this.load.noteCapacity(this.scheduler.currentLimit());
            }
            task.quarantineRun?.finish();
        } else {
            this.unanswered(task, result);
        }
        this.disposeWhenIdle();
    }

    private unanswered(task: TargetTask, result: Exclude<SendResult, { type: "answered" }>): void {
        if (result.type === "failed") {
            const cause = result.cause ?? result.failure.type;
            this.services.log.debug("A send to a target failed.", {
                trace: task.open.trace,
                target: this.target,
                cause,
            });
            if (result.sent) {
                this.runs.giveUp(task);
            }
        } else if (
            result.type === "abandoned" ? result.reason !== "deadline-passed" : GRANT_REASONS.has(result.reason)
        ) {
            void this.keeper.announce();
        } else if (result.type === "not-run" && result.reason === "draining") {
            this.drain();
        }
        this.broken.add(task, result);
    }

    /** The target's process with this boot identifier may have gone; `probe` is what was seen after that. */
    private targetFailed(boot: string, probe: TargetFailureObservation["probe"]): void {
        const { quarantine, log } = this.services;
        const brokenConnections = quarantine.openRuns(this.key, boot);
        const failure = classifyTargetFailure({ bootBefore: boot || undefined, probe, brokenConnections });
        // Connections that haven't reported their end yet belong to the process that is gone, too.
        const open = this.runs.all();
        if (failure === "crash") {
            this.counters.crashes++;
            quarantine.targetCrashed(this.key, boot).convicted.forEach(fingerprint =>
                // In the text, since lines with the same text are counted instead of written for some seconds.
                log.warn(`A request is quarantined after a second crash: ${fingerprint}.`),
            );
        }
        open.forEach(task => task.abortSend("crash"));
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
