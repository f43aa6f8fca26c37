import { AnswerTurn } from "../answerTurn.js";

describe("the turn of an answer", () => {
    it("writes the first answer of a connection at once", () => {
        const written: string[] = [];
        new AnswerTurn(true).run(() => written.push("answer"));
        expect(written).toEqual(["answer"]);
    });

    it("holds a later answer until its turn, and keeps the order of its writes", () => {
        const written: string[] = [];
        const turn = new AnswerTurn(false);
        turn.run(() => written.push("head"));
        turn.run(() => written.push("body"));
        expect([turn.isHeld, written]).toEqual([true, []]);
        turn.take();
        turn.run(() => written.push("end"));
        expect([turn.isHeld, written]).toEqual([false, ["head", "body", "end"]]);
    });
});
