import { ManualClock } from "../../../../test/support/manualClock.js";
import type { Route } from "../../../version/routeConfig.js";
import { RoomQueue, type RoomTicket } from "../roomQueue.js";
import { ServiceDemand } from "../serviceDemand.js";

const never = () => false;
const ticket = (priority: number, deadlineAt: number): RoomTicket => ({ priority, deadlineAt, latestAt: deadlineAt });
const route = (name: string, priority: number): Route => ({ name, priority, targetLatencyMs: 400 }) as Route;

describe("RoomQueue", () => {
    it("guards against a request that is tried before a more urgent one or one with an earlier deadline", () => {
        const queue = new RoomQueue<RoomTicket>();
        const tickets = [ticket(2, 100), ticket(1, 300), ticket(1, 200), ticket(2, 50)];
        tickets.forEach(each => queue.join(each));
        expect(queue.ahead(2, 70, 0)).toBe(3);
        expect(queue.ahead(2, 70, 60)).toBe(2);
        const order = tickets.map(() => queue.take(never));
        expect(order).toEqual([tickets[2], tickets[1], tickets[3], tickets[0]]);
        expect(queue.take(never)).toBeUndefined();
    });

    it("guards against more waiting requests than its bound", () => {
        const queue = new RoomQueue<RoomTicket>(1);
        const first = ticket(1, 100);
        expect([queue.join(first), queue.join(ticket(0, 50))]).toEqual([true, false]);
        expect([queue.leave(first), queue.leave(first), queue.size]).toEqual([true, false, 0]);
    });

    it("guards against starvation: a lower priority that finds no room gets one of ten starts", () => {
        const demand = new ServiceDemand(new ManualClock());
        const [high, low] = [route("high", 0), route("low", 1)];
        const queue = new RoomQueue<RoomTicket>();
        const starts = Array.from({ length: 40 }, () => {
            queue.join(ticket(0, 100));
            queue.join(ticket(1, 200));
            demand.heldBack(low);
            const next = queue.take(priority => demand.isDue(priority));
            demand.started(next?.priority === 1 ? low : high);
            return next?.priority;
        });
        expect(starts.filter(priority => priority === 1)).toHaveLength(4);
    });
});

describe("ServiceDemand", () => {
    it("guards against a priority that gets less than a quarter of the starts per request of all", () => {
        const demand = new ServiceDemand(new ManualClock());
        const [high, low] = [route("high", 0), route("low", 1)];
        for (let count = 0; count < 10; count++) {
            [high, high, low].forEach(each => demand.asked(each));
            demand.started(high);
        }
        expect([demand.isDue(0), demand.isDue(1)]).toEqual([false, true]);
        Array.from({ length: 4 }, () => demand.started(low));
        expect(demand.isDue(1)).toBe(false);
    });

    it("learns the work of routes and forgets demand that has ended", () => {
        const clock = new ManualClock();
        const demand = new ServiceDemand(clock);
        const [high, low] = [route("high", 0), route("low", 1)];
        [high, low].forEach(each => demand.asked(each));
        expect(demand.workOf(low)).toBe(1);
        demand.worked(high, 100);
        demand.worked(low, 300);
        expect([demand.workOf(high), demand.workOf(low)]).toEqual([0.5, 1.5]);
        expect(demand.rivalsOf(low)).toEqual([{ priority: 0, targetLatencyMs: 400, work: 0.5, share: 0.5 }]);
        clock.advance(30_000);
        demand.asked(low);
        expect(demand.rivalsOf(low)).toEqual([]);
    });
});
