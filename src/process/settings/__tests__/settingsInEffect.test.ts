import { createServer, type Server } from "node:http";
import { afterEach, describe, expect, jest, test } from "@jest/globals";
import { ok } from "neverthrow";
import { listenOnLoopback } from "../../../../test/support/httpSupport.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { waitFor } from "../../../../test/support/waitFor.js";
import { peerChannelOptions, type OpenFrame } from "../../../connection/peerProtocol.js";
import { TargetConnections, type TargetAnswer, type TargetFailure } from "../../../connection/targetConnections.js";
import { TargetTask } from "../../../request/targetTask.js";
import { GrantKeeper, type GrantEvents } from "../../ownership/grantKeeper.js";
import { lateAfterMs } from "../../dispatch/lateAnswer.js";
import { Quarantine } from "../../dispatch/quarantine.js";
import { TablePoller } from "../../store/tablePoller.js";

const NO_EVENTS: GrantEvents = {
    granted: () => undefined,
    superseded: () => undefined,
    restarted: () => undefined,
    lost: () => undefined,
    recovered: () => undefined,
    reported: () => undefined,
};
const GET = { method: "GET", path: "/", headers: {}, body: new Uint8Array() };

describe("settings that take effect", () => {
    const servers: Server[] = [];
    /** Starts a target that records paths and bodies of requests and, if `answers` is set, answers grants and probes. */
    const startTarget = async (answers: boolean) => {
        const requestedPaths: string[] = [];
        const bodies: string[] = [];
        const server = createServer((request, response) => {
            requestedPaths.push(request.url ?? "");
            const body = {
                boot: "b1",
                clock: 0,
                term: 1,
                sequence: 1,
                slots: 6,
                inFlight: 0,
                load: 0,
                state: "serving",
            };
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                bodies.push(Buffer.concat(chunks).toString());
                return answers ? response.end(JSON.stringify(body)) : undefined;
            });
        });
        servers.push(server);
        return { requestedPaths, bodies, address: await listenOnLoopback(server) };
    };

    afterEach(() => {
        servers.splice(0).forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    });

    test("guards against a probe period and a grant margin that stay at their defaults", async () => {
        const clock = new ManualClock();
        const { requestedPaths, bodies, address } = await startTarget(true);
        const keeper = new GrantKeeper({
            address,
            checked: true,
            clock,
            runningMs: () => clock.monotonicMs(),
            content: () => ({
                term: 1,
                slices: [
                    [0, 10],
                    [10, 20],
                ],
                dispatcher: "a1",
            }),
            lastsUntil: () => Infinity,
            events: NO_EVENTS,
            marginMs: 500,
            probePeriodMs: 2_000,
        });
        await keeper.announce();
        expect(requestedPaths).toEqual(["/sassafrasloom/probe", "/sassafrasloom/grant"]);
        // Adjacent slices are merged, since the body is sent several times a second.
        expect(bodies[1]).toContain('"slices":[[0,20]]');
        // The grant is valid for 1000 ms; 1% of it and the margin of 500 ms are added.
        expect(keeper.grantsEndAt()).toBe(1_510);
        clock.advance(1_800);
        await keeper.announce();
        expect(requestedPaths.filter(path => path === "/sassafrasloom/probe")).toHaveLength(1);
        clock.advance(200);
        await keeper.announce();
        expect(requestedPaths.filter(path => path === "/sassafrasloom/probe")).toHaveLength(2);
        keeper.dispose();
    });

    test("guards against a refusal gap that stays at its default", async () => {
        const clock = new ManualClock();
        const { address } = await startTarget(true);
        await new Promise(resolve => servers[0].close(resolve));
        const losses: string[] = [];
        const keeper = new GrantKeeper({
            address,
            checked: false,
            clock,
            runningMs: () => clock.monotonicMs(),
            content: () => ({ term: 1, slices: [], dispatcher: "a1" }),
            lastsUntil: () => Infinity,
            events: { ...NO_EVENTS, lost: loss => losses.push(loss) },
            refusedRetryMs: 40,
        });
        const setTimer = jest.spyOn(clock, "setTimer");
        keeper.start();
        await waitFor(() => setTimer.mock.calls.some(([delayMs]) => delayMs === 40), 5_000);
        expect(losses).toEqual([]);
        clock.advance(40);
        await waitFor(() => losses.length > 0, 5_000);
        expect(losses).toEqual(["refused"]);
        keeper.dispose();
    });

    test("guards against requests to a target that exceed the connection limit", async () => {
        const { address } = await startTarget(false);
        const connections = new TargetConnections(address, new ManualClock(), { limit: 1 });
        const failures: TargetFailure[] = [];
        let isSent = false;
        const answer = (failed: TargetAnswer["failed"]): TargetAnswer => ({
            sent: () => {
                isSent = true;
            },
            head: () => undefined,
            data: () => undefined,
            end: () => undefined,
            failed,
        });
        connections.send(
            GET,
            answer(() => undefined),
            { fresh: false },
        );
        await waitFor(() => isSent, 5_000);
        isSent = false;
        connections.send(
            GET,
            answer(failure => failures.push(failure)),
            { fresh: false },
        );
        await waitFor(() => failures.length > 0, 5_000);
        expect(failures.map(({ type }) => type)).toEqual(["connection-limit"]);
        expect(isSent).toBe(false);
        expect(connections.size).toBe(1);
        connections.dispose();
    });

    test("guards against a quarantine that outlasts its configured time", () => {
        const clock = new ManualClock();
        const quarantine = new Quarantine({ clock, convictionMs: 5_000 });
        const fingerprint = "a".repeat(64);
        for (const boot of ["b1", "b2"]) {
            quarantine.start(fingerprint, "t1", boot);
            quarantine.targetCrashed("t1", boot);
        }
        clock.advance(4_999);
        expect(quarantine.stateOf(fingerprint)).toBe("convicted");
        clock.advance(1);
        expect(quarantine.stateOf(fingerprint)).not.toBe("convicted");
    });

    test("guards against an instance list that is read as often as the table", async () => {
        const clock = new ManualClock();
        const reads = { table: 0, list: 0 };
        const poller = new TablePoller({
            clock,
            log: { warn: () => undefined } as unknown as ConstructorParameters<typeof TablePoller>[0]["log"],
            table: { changes: async () => ok({ revision: ++reads.table, rows: [] }) },
            readList: async () => {
                reads.list++;
                return ok([]);
            },
            replica: { apply: () => [] } as unknown as ConstructorParameters<typeof TablePoller>[0]["replica"],
            isPoller: () => true,
            changed: () => undefined,
            listChanged: () => undefined,
            pollMs: 500,
            listPollMs: 2_000,
            fallbackPollMs: 5_000,
        });
        for (let elapsed = 0; elapsed < 4_000; elapsed += 100) {
            await poller.tick();
            clock.advance(100);
        }
        expect(reads).toEqual({ table: 8, list: 2 });
    });

    test("guards against a window of streamed answers that stays at its default", () => {
        const forwardedBytes: number[] = [];
        let paused = 0;
        const open = { caller: "c", priority: 0, kind: "drawings.get", position: 1, idempotent: true } as OpenFrame;
        const task = new TargetTask(
            open,
            {
                head: () => undefined,
                data: chunk => forwardedBytes.push(chunk.length),
                end: () => undefined,
                refused: () => undefined,
            },
            {
                deadlineAt: 10_000,
                suspect: false,
                fingerprint: "",
                windowBytes: 100,
                events: { start: () => undefined, sendEnded: () => undefined, left: () => undefined },
            },
        );
        let answer: TargetAnswer | undefined;
        task.sendThrough(receiver => {
            answer = receiver as TargetAnswer;
            return { abort: () => undefined, pause: () => paused++, resume: () => paused-- };
        });
        answer?.sent();
        answer?.head(200, [], undefined);
        answer?.data(new Uint8Array(99));
        expect(paused).toBe(0);
        answer?.data(new Uint8Array(1));
        expect(paused).toBe(1);
        task.credit(1);
        expect(paused).toBe(0);
    });

    test("guards against channels between instances that use the default ping period and timeout", () => {
        expect(peerChannelOptions({ periodMs: 70, timeoutMs: 90 })).toMatchObject({
            "grpc.keepalive_time_ms": 70,
            "grpc.keepalive_timeout_ms": 90,
        });
    });

    test("guards against a minimum of the late-answer time that stays at its default", () => {
        expect(lateAfterMs(0, 0, 900)).toBe(900);
        expect(lateAfterMs(300, 0, 900)).toBe(1_200);
    });
});
