import { ManualClock } from "../../../test/support/manualClock.js";
import type { TargetAnswer, TargetFailure } from "../../connection/targetConnections.js";
import { decideNotForwarded } from "../../process/gateway/decideNotForwarded.js";
import { GatewayTarget } from "../../process/gateway/gatewayTarget.js";
import type { DirectoryTarget } from "../../process/gateway/targetDirectory.js";
import { TargetIntake } from "../../process/gateway/targetIntake.js";
import { ForwardedRequest, type ForwardedServices } from "../forwardedRequest.js";
import type { ForwardFields } from "../forwardFields.js";
import type { GatewayCall, GatewayReply } from "../gatewayCall.js";
import { outcomeOfRefusal, type Refusal } from "../refusal.js";

/** A request that this instance takes from another one for a target of the domain `wels`. */
const forward = (change: Partial<ForwardFields>, evacuation?: DirectoryTarget["evacuation"]) => {
    const clock = new ManualClock();
    clock.advance(10_000);
    const entry = { id: "t1", service: "stock", address: "127.0.0.1:1", slots: 4, warmupLeftMs: 0, startedAtMs: 1 };
    const listed = { entry, intake: new TargetIntake(), evacuation } as unknown as DirectoryTarget;
    const target = new GatewayTarget(listed, clock, true, 4);
    const refusals: Refusal[] = [];
    const connectionsFailed: TargetFailure[] = [];
    let begun: { answer: TargetAnswer; maySend?: () => boolean } | undefined;
    target.connections.send = (_request, answer, { maySend }) => {
        begun = { answer, maySend };
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    };
    const fields: ForwardFields = {
        ...{ target: "t1", startedAtMs: 1, address: "127.0.0.1:1", ageMs: 5, targetLatencyMs: 400 },
        ...{ isIdempotent: true, isAdmitted: false },
        ...change,
    };
    const call = { arrivedAt: clock.monotonicMs(), deadlineMs: 2_000 } as GatewayCall;
    const services = {
        ...{ clock, target: () => target, drainMs: 2_000, closed: () => undefined, isQuarantined: () => false },
        ...{ targetHeaders: () => [], ended: () => undefined },
        connectionFailed: (_: GatewayTarget, failure: TargetFailure) => connectionsFailed.push(failure),
    } as unknown as ForwardedServices;
    const reply = { refuse: (refusal: Refusal) => refusals.push(refusal) } as unknown as GatewayReply;
    new ForwardedRequest(call, fields, reply, services).start();
    return { clock, target, refusals, connectionsFailed, begun: () => begun };
};

const evacuationUntil = (sendsUntil: number) => ({ domain: "wels", since: 0, sendsUntil });

describe("A request that another instance forwards for a target in an evacuated failure domain", () => {
    it("guards against a send after the time that this instance knows, or that the other one states", () => {
        for (const forwarded of [forward({}, evacuationUntil(10_000)), forward({ sendWithinMs: 0 })]) {
            expect(forwarded.begun()).toBeUndefined();
            expect(forwarded.refusals).toHaveLength(1);
            expect(outcomeOfRefusal(forwarded.refusals[0])).toBe("not-run");
        }
    });

    it("guards against a refusal before that time", () => {
        for (const forwarded of [forward({}, evacuationUntil(10_001)), forward({ sendWithinMs: 1 }), forward({})]) {
            expect(forwarded.begun()?.maySend?.()).toBe(true);
            expect(forwarded.refusals).toEqual([]);
        }
    });

    it("guards against a send when the time ends while a connection is established, and blames no target for it", () => {
        for (const forwarded of [forward({}, evacuationUntil(10_200)), forward({ sendWithinMs: 200 })]) {
            forwarded.clock.advance(200);
            expect(forwarded.begun()?.maySend?.()).toBe(false);
            forwarded.begun()?.answer.failed({ type: "withheld", refused: false, detail: "" });
            expect(forwarded.refusals).toHaveLength(1);
            expect(forwarded.connectionsFailed).toEqual([]);
            expect(forwarded.target.isSuspect()).toBe(false);
            expect(decideNotForwarded(forwarded.refusals[0].type, true)).toBe("none");
        }
    });
});
