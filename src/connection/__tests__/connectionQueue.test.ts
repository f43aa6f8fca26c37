import { ConnectionQueue } from "../connectionQueue.js";

/** A queue of requests by name, with the names of those that have a connection reserved. */
const createQueue = () => {
    let free = 0;
    const reserved: string[] = [];
    const queue = new ConnectionQueue(() => free);
    return {
        queue,
        reserved,
        join: (name: string) => queue.join(() => reserved.push(name)),
        release: (count: number) => {
            free += count;
            queue.serve();
        },
        use: () => free--,
    };
};

test("guards against a later request that takes the connection of one that waits", () => {
    const { queue, reserved, join, release, use } = createQueue();
    const [leaveFirst] = [join("first"), join("second")];
    release(1);
    expect([reserved, queue.hasFree(), queue.size]).toEqual([["first"], false, 1]);
    use();
    leaveFirst();
    expect([reserved, queue.hasFree()]).toEqual([["first"], false]);
    release(2);
    expect([reserved, queue.hasFree()]).toEqual([["first", "second"], true]);
});

test("guards against a connection that stays reserved for a request that was given up", () => {
    const { queue, reserved, join, release } = createQueue();
    const [leaveFirst, leaveSecond, leaveThird] = [join("first"), join("second"), join("third")];
    leaveSecond();
    release(1);
    leaveFirst();
    leaveFirst();
    expect(reserved).toEqual(["first", "third"]);
    leaveThird();
    expect([queue.hasFree(), queue.size]).toEqual([true, 0]);
});
