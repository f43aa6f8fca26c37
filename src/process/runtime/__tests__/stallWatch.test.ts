import { ManualClock } from "../../../../test/support/manualClock.js";
import { StallWatch } from "../stallWatch.js";

describe("a watch for stalls of the event loop", () => {
    /** A clock without timers, whose stalls are the times between calls of `check`. */
    const watched = () => {
        const clock = new ManualClock();
        let check: () => void = () => undefined;
        const stalls: number[] = [];
        const watch = new StallWatch(
            {
                ...clock,
                monotonicMs: () => clock.monotonicMs(),
                wallMs: () => clock.wallMs(),
                setTimer: (_, callback) => {
                    check = callback;
                    return () => undefined;
                },
            },
            stallMs => stalls.push(stallMs),
        );
        watch.start();
        const checkAfter = async (ms: number) => {
            clock.advance(ms);
            check();
            // The next check is scheduled in a microtask.
            await new Promise(resolve => setImmediate(resolve));
        };
        return { clock, watch, stalls, checkAfter };
    };

    it("dates input that is read at once to the present", async () => {
        const { clock, watch, stalls, checkAfter } = watched();
        await checkAfter(260);
        await checkAfter(300);
        expect(watch.unreadSince()).toBe(clock.monotonicMs());
        expect(stalls).toEqual([]);
    });

    it("dates input that is read right after a stall to the last check before it", async () => {
        const { clock, watch, checkAfter } = watched();
        await checkAfter(250);
        const before = clock.monotonicMs();
        clock.advance(2_000);
        expect(watch.unreadSince()).toBe(before);
    });

    it("dates input that is read in the second after a stall likewise", async () => {
        const { clock, watch, stalls, checkAfter } = watched();
        await checkAfter(250);
        const before = clock.monotonicMs();
        await checkAfter(1_500);
        clock.advance(100);
        expect(watch.unreadSince()).toBe(before);
        expect(stalls).toEqual([1_500]);
        for (let count = 0; count < 4; count++) {
            await checkAfter(250);
        }
        expect(watch.unreadSince()).toBe(clock.monotonicMs());
    });
});
