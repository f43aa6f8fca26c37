import { systemClock } from "../../src/process/runtime/clock.js";
import { GrantedTargets } from "./grantedTargets.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "./scriptedTarget.js";
import { pause } from "./waitFor.js";

/** Slots that the entries and the answers state. */
const SLOTS = 6;

interface GrantBody {
    from: number;
    to: number;
    fence: number;
    hold_ms: number;
    handover?: string;
}

/** A target that takes grants over HTTP and runs only requests for keys that it holds, or any if its service isn't keyed. */
export interface OwningTarget {
    id: string;
    service: string;
    domain: string;
    address: string;
    workMs: number;
    /** Number of runs by identifier of the request. */
    runs: Map<string, number>;
    /** Additional headers of its answers. */
    headers: string[];
    /** Called with each request before it runs; `true` if it has been answered otherwise. */
    intercept: (arrival: TargetArrival) => boolean;
}

/** Targets of keyed and other services over HTTP, which record who runs what and whether keys have two owners. */
export class OwningTargets {
    readonly grants = new GrantedTargets(systemClock);
    readonly targets: OwningTarget[] = [];
    private readonly servers: ScriptedTarget[] = [];

    async add(id: string, service: string, domain: string, isKeyed: boolean): Promise<OwningTarget> {
        const server = await startScriptedTarget(arrival => void this.handle(target, arrival, isKeyed));
        const target: OwningTarget = {
            id,
            service,
            domain,
            address: server.address,
            workMs: 20,
            runs: new Map(),
            headers: [],
            intercept: () => false,
        };
        this.targets.push(target);
        this.servers.push(server);
        return target;
    }

    /** The entry of a target in the store. */
    entryOf({ address, service, domain }: OwningTarget): unknown {
        return {
            address,
            born: 1_700_000_000_000,
            info: { service, version: "v1", zone: domain, slots: SLOTS },
            status: { state: "ready", seq: 1, warmup_left_ms: 0 },
        };
    }

    /** The target that holds a key now. */
    ownerOf(key: number): OwningTarget | undefined {
        return this.targets.find(({ address }) => this.holds(address, key));
    }

    /** Identifiers of requests that ran more than once. */
    repeated(): string[] {
        const counts = new Map<string, number>();
        for (const { runs } of this.targets) {
            runs.forEach((count, id) => counts.set(id, (counts.get(id) ?? 0) + count));
        }
        return [...counts].filter(([, count]) => count > 1).map(([id]) => id);
    }

    hasRun(requestId: string): boolean {
        return this.targets.some(({ runs }) => runs.has(requestId));
    }

    async dispose(): Promise<void> {
        await Promise.all(this.servers.map(server => server.dispose()));
    }

    private holds(address: string, key: number): boolean {
        const now = systemClock.monotonicMs();
        const held = this.grants.held.get(address) ?? [];
        return held.some(({ from, to, until }) => from <= key && key <= to && now < until);
    }

    private async handle(target: OwningTarget, arrival: TargetArrival, isKeyed: boolean): Promise<void> {
        const { id, address } = target;
        const { url, headers, body } = arrival;
        const answer = (status: number, ...fields: string[]) =>
            arrival.answer({ status, headers: [...target.headers, ...fields] });
        if (headers.has("x-expect-instance") && headers.get("x-expect-instance") !== id) {
            answer(421, "X-Not-Executed: 1", `X-Instance-Id: ${id}`);
            return;
        }
        if (url === "/grant") {
            const { from, to, fence, hold_ms: holdMs } = JSON.parse(body) as GrantBody;
            const reply = await this.grants.grant({ id, address }, { from, to, fence, holdMs });
            answer(reply.type === "granted" ? 200 : 409);
            return;
        }
        if (url === "/release") {
            const reply = await this.grants.release({ id, address }, JSON.parse(body) as GrantBody);
            answer(200, `X-Handover: ${reply.type === "released" ? reply.handover : ""}-${fresh++}`);
            return;
        }
        if (target.intercept(arrival)) {
            return;
        }
        if (isKeyed && !this.holds(address, Number(headers.get("x-shard-key")))) {
            answer(421, "X-Not-Executed: 1");
            return;
        }
        const requestId = headers.get("x-request-id") ?? "";
        target.runs.set(requestId, (target.runs.get(requestId) ?? 0) + 1);
        await pause(target.workMs);
        answer(200, `X-Upstream-Load: 1,0,${SLOTS}`, `X-Target: ${id}`);
    }
}

/** Makes the handovers of releases differ. */
let fresh = 0;
