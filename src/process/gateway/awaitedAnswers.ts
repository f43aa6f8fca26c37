/** Number of answers to later requests that show, together with the reported load, that an answer is missing. */
const MIN_LATER_ANSWERS = 2;
/** The same for each slot without a reported load; work takes different times, so later requests may end before. */
const LATER_ANSWERS_PER_SLOT = 4;

/**
 * Decides whether the answer to a request will never arrive, although its connection is still open. It handles targets that drop a
 * request when they are full, and answer nothing on its connection from then on: without this, the request waits until its timeout,
 * when it is too late to send it again. A single later answer is no evidence, as its request may have needed less work.
 *
 * @example
 * isAnswerMissing({ laterAnswers: 2, reportedLoad: 1, awaited: 2, slots: 3 }); // true: the target has fewer requests than it was sent
 */
export const isAnswerMissing = (evidence: {
    /** Answers of the target to requests that this instance sent after the one in question. */
    laterAnswers: number;
    /** Running and waiting requests that the last of them reports; `undefined` if the target doesn't report any. */
    reportedLoad: number | undefined;
    /** Requests that this instance had sent before the last of them and whose answers it still awaits. */
    awaited: number;
    slots: number;
}): boolean => {
    const { laterAnswers, reportedLoad = Infinity, awaited, slots } = evidence;
    return (
        (laterAnswers >= MIN_LATER_ANSWERS && reportedLoad < awaited) || laterAnswers >= LATER_ANSWERS_PER_SLOT * slots
    );
};

/** A request that was sent and whose answer hasn't begun. */
export interface AwaitedAnswer {
    /** Position among the requests to the target. */
    order: number;
    laterAnswers: number;
    /** Called after each answer of the target that shows that this one is missing. */
    missing: () => void;
}

/**
 * The requests of this instance to one target whose answers haven't begun.
 *
 * @example
 * const awaited = answers.sent(() => request.sendAgain());
 * answers.answered(awaited, 4);
 */
export class AwaitedAnswers {
    private readonly awaited = new Set<AwaitedAnswer>();
    private sends = 0;

    constructor(private readonly slots: number) {}

    sent(missing: () => void): AwaitedAnswer {
        const answer = { order: this.sends++, laterAnswers: 0, missing };
        this.awaited.add(answer);
        return answer;
    }

    /** Ends the wait without an answer. */
    ended(answer: AwaitedAnswer): void {
        this.awaited.delete(answer);
    }

    /** Handles the begin of an answer, and the load that it reports. */
    answered(answer: AwaitedAnswer, reportedLoad: number | undefined): void {
        this.awaited.delete(answer);
        const earlier = [...this.awaited].filter(({ order }) => order < answer.order);
        for (const other of earlier) {
            const laterAnswers = ++other.laterAnswers;
            if (isAnswerMissing({ laterAnswers, reportedLoad, awaited: earlier.length, slots: this.slots })) {
                other.missing();
            }
        }
    }
}
