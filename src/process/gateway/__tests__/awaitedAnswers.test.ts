import { seededRandom } from "../../../../test/support/seededRandom.js";
import { AwaitedAnswers, isAnswerMissing, type AwaitedAnswer } from "../awaitedAnswers.js";

describe("isAnswerMissing", () => {
    it("guards against evidence that long work would give, too", () => {
        const evidence = { laterAnswers: 2, reportedLoad: 0, awaited: 1, slots: 3 };
        expect(isAnswerMissing(evidence)).toBe(true);
        expect(isAnswerMissing({ ...evidence, laterAnswers: 1 })).toBe(false);
        expect(isAnswerMissing({ ...evidence, reportedLoad: 1 })).toBe(false);
        expect(isAnswerMissing({ ...evidence, reportedLoad: undefined })).toBe(false);
        expect(isAnswerMissing({ ...evidence, reportedLoad: undefined, laterAnswers: 12 })).toBe(true);
    });
});

/** Replays one target with 3 slots and a queue of 12 that drops further requests without an answer, and the instances that send to it. */
const replayDrops = (seed: number, instances: number, perSecond: number) => {
    const random = seededRandom(seed);
    const views = Array.from({ length: instances }, () => new AwaitedAnswers(3));
    const running: { endsAt: number; answer: () => void }[] = [];
    const waiting: { workMs: number; answer: () => void }[] = [];
    const outcome = { dropped: 0, found: 0, foundAfterMs: 0, mistaken: 0 };
    let now = 0;
    for (; now < 20_000; now++) {
        for (const run of running.filter(({ endsAt }) => endsAt <= now)) {
            running.splice(running.indexOf(run), 1);
            const next = waiting.shift();
            if (next !== undefined) {
                running.push({ endsAt: now + next.workMs, answer: next.answer });
            }
            run.answer();
        }
        if (random() >= perSecond / 1_000) {
            continue;
        }
        const view = views[Math.floor(random() * instances)];
        const workMs = 240 * (0.5 + random());
        const isDropped = running.length === 3 && waiting.length === 12;
        outcome.dropped += Number(isDropped);
        const sentAt = now;
        let isFound = false;
        const awaited: AwaitedAnswer = view.sent(() => {
            if (!isFound) {
                isFound = true;
                outcome.found += Number(isDropped);
                outcome.foundAfterMs += isDropped ? now - sentAt : 0;
                outcome.mistaken += Number(!isDropped);
                view.ended(awaited);
            }
        });
        const answer = () => view.answered(awaited, running.length + waiting.length);
        if (running.length < 3) {
            running.push({ endsAt: now + workMs, answer });
        } else if (!isDropped) {
            waiting.push({ workMs, answer });
        }
    }
    return outcome;
};

describe("missing answers of a full target", () => {
    it.each([11, 64, 90, 300])(
        "guards against the end of requests whose answers still come, %d instances",
        instances => {
            for (const seed of [1, 2, 3]) {
                expect(replayDrops(seed, instances, 125).mistaken).toBe(0);
            }
        },
    );

    it("guards against a wait until the timeout of 3 s after the target has become idle", () => {
        const view = new AwaitedAnswers(3);
        let found = 0;
        view.sent(() => found++);
        for (const expected of [0, 1, 2]) {
            view.answered(
                view.sent(() => undefined),
                0,
            );
            expect(found).toBe(expected);
        }
    });
});
