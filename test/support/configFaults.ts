import type { FleetMember, GatewayFleet } from "./gatewayFleet.js";
import { pause } from "./waitFor.js";

const KINDS = ["refused", "reset", "hung", "held", "frozen", "narrow", "killed", "stopped"] as const;
/** A fault of one instance or of its path to the store. */
export type ConfigFaultKind = (typeof KINDS)[number];

/** Part of the link's rate that is left while it is narrow. */
const NARROW_SHARE = 0.4;
/** Time for which the process of the test is seen to stand still from which the store counts as slow, in milliseconds. */
const STALL_MS = 250;
const STALL_CHECK_MS = 20;

/** A fault, with the times at which it began and ended, in milliseconds; `until` is `Infinity` while it lasts. */
export interface ConfigFault {
    kind: ConfigFaultKind | "test stalled";
    /** Names of the instances. */
    members: readonly string[];
    from: number;
    until: number;
}

/** Applies random faults to the instances of a fleet and their paths to the store, and states which are calm. */
export class ConfigFaults {
    readonly series: ConfigFault[] = [];
    private readonly stallTimer: NodeJS.Timeout;
    private readonly underWay = new Set<Promise<void>>();
    private nextMember = 0;

    constructor(
        private readonly fleet: GatewayFleet,
        private readonly options: {
            random: () => number;
            /** Bytes a second of the link between an instance and the store. */
            rateOf: (member: FleetMember) => number;
        },
    ) {
        fleet.members.forEach(member => this.limit(member));
        let lastAt = performance.now();
        this.stallTimer = setInterval(() => {
            const now = performance.now();
            if (now - lastAt > STALL_MS) {
                const members = fleet.members.map(({ name }) => name);
                this.series.push({ kind: "test stalled", members, from: lastAt, until: now });
            }
            lastAt = now;
        }, STALL_CHECK_MS);
    }

    dispose(): void {
        clearInterval(this.stallTimer);
    }

    /** Whether an instance and its path had no fault in the last `ms` milliseconds before a time. */
    isCalm({ name }: FleetMember, at: number, ms: number): boolean {
        return this.series.every(({ members, from, until }) => !members.includes(name) || from > at || until < at - ms);
    }

    /** Begins a random fault of a random instance, which may overlap with others. */
    begin(): void {
        const { random } = this.options;
        const alive = this.fleet.members.filter(member => !member.hasEnded() && this.isCalm(member, Infinity, 0));
        if (alive.length < 2) {
            return;
        }
        const member = alive[Math.floor(random() * alive.length)];
        const kind = KINDS[Math.floor(random() * KINDS.length)];
        const durationMs = 200 + random() * 4_800;
        const done = this.apply(member, kind, durationMs).finally(() => this.underWay.delete(done));
        this.underWay.add(done);
    }

    /** Waits until no fault is under way. */
    async ended(): Promise<void> {
        await Promise.all(this.underWay);
    }

    private async apply(member: FleetMember, kind: ConfigFaultKind, durationMs: number): Promise<void> {
        const fault: ConfigFault = { kind, members: [member.name], from: performance.now(), until: Infinity };
        this.series.push(fault);
        const { storeLink } = member;
        switch (kind) {
            case "refused":
                await storeLink.refuse();
                await pause(durationMs);
                await storeLink.accept();
                break;
            case "reset":
                storeLink.resetConnections();
                break;
            case "hung":
                storeLink.hangConnections();
                break;
            case "held":
                storeLink.hold("toClient", true);
                await pause(durationMs);
                storeLink.hold("toClient", false);
                break;
            case "frozen":
                member.signal("SIGSTOP");
                await pause(durationMs);
                member.signal("SIGCONT");
                break;
            case "narrow":
                storeLink.limitRate("toClient", this.options.rateOf(member) * NARROW_SHARE);
                await pause(durationMs);
                this.limit(member);
                break;
            case "killed":
            case "stopped": {
                member.signal(kind === "killed" ? "SIGKILL" : "SIGTERM");
                const name = `b${this.nextMember++}`;
                await this.fleet.addMember(name, member.domain);
                const added = this.fleet.member(name);
                this.limit(added);
                this.series.push({ kind, members: [name], from: fault.from, until: performance.now() });
                return;
            }
        }
        fault.until = performance.now();
    }

    private limit(member: FleetMember): void {
        member.storeLink.limitRate("toClient", this.options.rateOf(member));
    }
}
