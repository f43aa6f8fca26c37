import { ManualClock } from "../../../../test/support/manualClock.js";
import { LimitAdmitter } from "../limitAdmitter.js";
import { ANSWER_TIMEOUT_MS, LimitExchange, SILENCE_PAUSE_MS, type Permit } from "../limitExchange.js";
import { decodeLimitMessage } from "../limitMessage.js";

const ADMITTING = { host: "10.1.0.15", port: 7620 };
const ASKING = { host: "10.1.0.16", port: 7620 };
const KNOWLEDGE = { id: "t1", startedAtMs: 1, perSecond: 2, ageMs: 0 };

/** An instance that asks and one that admits, without a network between them: `deliver` passes on what was sent. */
const createPair = () => {
    const clock = new ManualClock();
    const sent: { from: "asking" | "admitting"; content: Buffer }[] = [];
    const ended: number[] = [];
    let isAdmitting = true;
    let unanswered = 0;
    let stalledMs = 0;
    /** After a stall, the time has advanced but no timer has fired. */
    const stallableClock = {
        monotonicMs: () => clock.monotonicMs() + stalledMs,
        wallMs: () => clock.wallMs() + stalledMs,
        setTimer: (delayMs: number, callback: () => void) => clock.setTimer(delayMs, callback),
    };
    const shared = {
        clock: stallableClock,
        unanswered: () => unanswered++,
        limitEnded: (_: unknown, at: number) => ended.push(at),
    };
    const admitter = new LimitAdmitter(clock);
    const admitting = new LimitExchange({
        ...shared,
        admitter,
        isAdmitting: () => isAdmitting,
        admittingAddress: () => undefined,
        send: (_, content) => sent.push({ from: "admitting", content }),
    });
    const asking = new LimitExchange({
        ...shared,
        admitter: new LimitAdmitter(clock),
        isAdmitting: () => false,
        admittingAddress: () => ADMITTING,
        send: (_, content) => sent.push({ from: "asking", content }),
    });
    const deliver = () => {
        while (sent.length > 0) {
            sent.splice(0).forEach(({ from, content }) =>
                from === "asking" ? admitting.receive(content, ASKING) : asking.receive(content, ADMITTING),
            );
        }
    };
    const ask = (): Permit[] => {
        const permits: Permit[] = [];
        asking.permit(KNOWLEDGE, permit => permits.push(permit));
        return permits;
    };
    return {
        clock,
        admitter,
        asking,
        sent,
        ended,
        deliver,
        ask,
        stallFor: (ms: number) => (stalledMs += ms),
        stopAdmitting: () => (isAdmitting = false),
        unanswered: () => unanswered,
    };
};

describe("questions about the limit of a target", () => {
    it("are decided by the instance that admits", () => {
        const { clock, deliver, ask } = createPair();
        const [first] = [ask()];
        deliver();
        clock.advance(1_000);
        const second = ask();
        deliver();
        expect([first, second]).toEqual([
            [{ type: "refused", result: "refused", retryAfterMs: 500 }],
            [{ type: "admitted", result: "admitted" }],
        ]);
    });

    it("aren't sent while the limit can't admit another request; callers are told the turns that follow", () => {
        const { clock, deliver, ask, sent } = createPair();
        ask();
        deliver();
        expect([ask(), ask()]).toMatchObject([[{ retryAfterMs: 1_000 }], [{ retryAfterMs: 1_500 }]]);
        expect(sent).toEqual([]);
        clock.advance(500);
        ask();
        expect(sent.map(({ content }) => decodeLimitMessage(content))).toMatchObject([
            { type: "limit-ask", refused: 2 },
        ]);
    });

    it("refuse the request if they are lost, and pause", () => {
        const { clock, ask, sent, unanswered } = createPair();
        const permits = ask();
        sent.length = 0;
        clock.advance(ANSWER_TIMEOUT_MS);
        expect(permits).toMatchObject([{ type: "refused", result: "unanswered" }]);
        expect(ask()).toHaveLength(1);
        expect(sent).toEqual([]);
        clock.advance(SILENCE_PAUSE_MS);
        ask();
        expect(sent).toHaveLength(1);
        expect(unanswered()).toBe(1);
    });

    it("refuse the request if the answer is read late, though the timer has not fired", () => {
        const { clock, deliver, ask, stallFor } = createPair();
        ask();
        deliver();
        clock.advance(1_000);
        const permits = ask();
        stallFor(ANSWER_TIMEOUT_MS + 1);
        deliver();
        expect(permits).toMatchObject([{ type: "refused", result: "unanswered" }]);
    });

    it("refuse the request if the asked instance doesn't admit any more", () => {
        const { deliver, ask, stopAdmitting } = createPair();
        stopAdmitting();
        const permits = ask();
        deliver();
        expect(permits).toMatchObject([{ type: "refused", result: "unanswered" }]);
    });

    it("tell an instance that the limit has ended, as of the time of its question", () => {
        const { clock, admitter, asking, deliver, ended } = createPair();
        clock.advance(1_000);
        admitter.learn({ ...KNOWLEDGE, perSecond: undefined, ageMs: 0 });
        const permits: Permit[] = [];
        asking.permit({ ...KNOWLEDGE, ageMs: 400 }, permit => permits.push(permit));
        deliver();
        expect([permits, ended]).toEqual([[{ type: "admitted", result: "admitted" }], [1_000]]);
    });

    it("ignore datagrams of other kinds", () => {
        const { asking } = createPair();
        expect(asking.receive(Buffer.from("nonsense"), ADMITTING)).toBe(false);
        expect(asking.receive(Buffer.from('{"service":"stock","keys":[],"targets":[]}'), ADMITTING)).toBe(false);
    });
});
