import { HeldAnswers } from "../../request/heldAnswers.js";
import { StreamMemory, type CallerStream } from "../streamMemory.js";

const LIMIT = 1_000;

describe("the memory of all streams", () => {
    let now: number;
    let memory: StreamMemory;
    let cut: string[];

    beforeEach(() => {
        now = 0;
        cut = [];
        memory = new StreamMemory(LIMIT, () => now);
    });

    const stream = (name: string): CallerStream => ({ bytes: 0, since: 0, cut: () => void cut.push(name) });

    it("guards against a body that counts twice, or no longer while its target still has it", () => {
        const body = Buffer.alloc(400);
        memory.retain(body);
        memory.retain(body);
        expect(memory.bytes).toBe(400);
        memory.release(body);
        expect(memory.bytes).toBe(400);
        memory.release(body);
        memory.release(body);
        expect(memory.bytes).toBe(0);
    });

    it("cuts the answers without progress for the longest time when those that aren't read take more than their share", () => {
        const [first, second, third] = ["first", "second", "third"].map(stream);
        memory.setUnread(first, 300);
        now = 10;
        memory.setUnread(second, 300);
        now = 20;
        // Its caller has read a part.
        memory.setUnread(first, 250);
        memory.setUnread(third, 250);
        expect(cut).toEqual(["second"]);
        expect(memory.bytes).toBe(500);
    });

    it("guards against a body that takes the place of answers that are still being read", () => {
        memory.setUnread(stream("fresh"), 700);
        memory.retain(Buffer.alloc(100));
        expect([memory.hasRoomForBodies(), cut]).toEqual([false, []]);
        now = 1_001;
        expect([memory.hasRoomForBodies(), cut]).toEqual([true, ["fresh"]]);
    });

    it("guards against bodies because of which the answers of other callers can't be held", () => {
        memory.retain(Buffer.alloc(760));
        expect(memory.hasRoomForBodies()).toBe(false);
        const answers = new HeldAnswers(LIMIT, memory);
        const answer = answers.create();
        answer.add(Buffer.alloc(50));
        expect(answer.isTooLarge()).toBe(false);
        answer.add(Buffer.alloc(50));
        expect(answer.isTooLarge()).toBe(true);
        answer.take();
        expect(memory.bytes).toBe(760);
    });

    it("guards against bodies that don't end because of which no other body is taken", () => {
        memory.setArrived(stream("stalled"), 500);
        memory.setArrived(stream("going on"), 100);
        const upload = stream("arriving");
        memory.setArrived(upload, 200);
        expect([memory.hasRoomForBodies(), cut]).toEqual([false, []]);
        now = 1_001;
        memory.setArrived(upload, 220);
        expect([memory.hasRoomForBodies(), cut]).toEqual([true, ["stalled"]]);
        expect(memory.bytes).toBe(320);
    });

    it("guards against a large body that no instance takes, although it is the only one", () => {
        const upload = stream("arriving");
        memory.setArrived(upload, 900);
        expect([memory.hasRoomForBodies(upload), memory.hasRoomForBodies()]).toEqual([true, false]);
        memory.setArrived(stream("other"), 1);
        expect(memory.hasRoomForBodies(upload)).toBe(false);
    });

    it("guards against answers that are cut although only those that arrive take much", () => {
        memory.addHeld(800);
        memory.setUnread(stream("streamed"), 100);
        expect(cut).toEqual([]);
        memory.setUnread(stream("next"), 150);
        expect(cut).toEqual(["streamed"]);
    });
});
