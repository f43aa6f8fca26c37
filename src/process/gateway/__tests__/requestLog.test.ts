import { expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { GatewayRequest } from "../../../request/gatewayRequest.js";
import type { RequestOutcome } from "../../../request/gatewayServices.js";
import { refuse } from "../../../request/refusal.js";
import type { LogFields } from "../../observability/logger.js";
import { RequestLog } from "../requestLog.js";

const start = () => {
    const clock = new ManualClock();
    const lines: [message: string, fields: LogFields][] = [];
    const log = new RequestLog({
        clock,
        logger: { ...SILENT_LOGGER, info: (message, fields = {}) => void lines.push([message, fields]) },
        serviceState: () => ({
            config: 12,
            fence: 7,
            ownersAgeMs: 400,
            storeSilentMs: 90,
            resting: undefined,
            leaving: "t9",
        }),
    });
    let count = 0;
    const end = (outcome: RequestOutcome, attempts: GatewayRequest["attempts"] = []) => {
        const request: Partial<GatewayRequest> = {
            call: {
                method: "GET",
                url: "/",
                host: "shop.example",
                headers: [],
                body: Buffer.alloc(0),
                requestId: `r${count++}`,
                deadlineMs: 900,
                key: 50,
                arrivedAt: clock.monotonicMs(),
            },
            route: {
                name: "read",
                host: "shop.example",
                prefix: "/",
                repeatability: "idempotent",
                timeoutMs: 900,
                targetLatencyMs: 400,
                priority: 1,
                maxAttempts: 3,
                services: [],
            } as unknown as GatewayRequest["route"],
            service: "stock",
            attempts,
            sends: attempts.length,
            allowedMs: 885,
        };
        log.ended(request as GatewayRequest, outcome);
    };
    return { clock, lines, end };
};

const refused: RequestOutcome = { type: "refused", refusal: refuse("overloaded", "Target t1 needs 900 ms.") };

test("a line has the attempts, the decisions after them, and the state known to the instance with its age", () => {
    const { lines, end } = start();
    end(refused, [{ target: "t1", startedMs: 2, durationMs: 30, load: 4, end: "status 503, not run", next: "refuse" }]);
    expect(lines).toEqual([
        [
            "Request r0 ended: overloaded.",
            expect.objectContaining({
                request: "r0",
                detail: "Target t1 needs 900 ms.",
                key: 50,
                attempts: "t1 @2 +30 ms, load 4: status 503, not run -> refuse",
                config: 12,
                fence: 7,
                ownersAgeMs: 400,
                storeSilentMs: 90,
            }),
        ],
    ]);
});

test("a load peak neither floods the log nor displaces failures from it, and dropped lines are counted", () => {
    const { clock, lines, end } = start();
    for (let index = 0; index < 500; index++) {
        end({ type: "answered", status: 200 });
    }
    expect(lines).toHaveLength(1);
    for (let index = 0; index < 500; index++) {
        end(refused);
    }
    expect(lines).toHaveLength(20);
    expect(lines[1][0]).toBe("Request r500 ended: overloaded.");
    clock.advance(1_000);
    end(refused);
    expect(lines[1][1].dropped).toBe(499);
    expect(lines.at(-1)?.[1].dropped).toBe(500 - 19);
});
