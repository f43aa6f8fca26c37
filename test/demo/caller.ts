import { v7 as uuidv7 } from "uuid";
import { machineMonotonicMs } from "../support/executionLog.js";
import type { RequestClient, TestReply } from "../support/requestClient.js";
import { pause } from "../support/waitFor.js";
import { checkAnswer, type AnswerFault } from "./checkAnswer.js";
import type { DemoRequest } from "./demoRequest.js";

/** Delay before a request is resent, in milliseconds. */
export const RESEND_PAUSE_MS = 50;
/** Maximum number of sends that may have run; a record that couldn't answer twice won't answer later either. */
export const MAX_UNKNOWN_SENDS = 4;
/** Time after the deadline for the router's own refusal to arrive, in milliseconds. */
const ANSWER_GRACE_MS = 1_000;

/** Result of one send. `unreached`: the connection was refused; `broken`: it failed before a response head. */
export type SendEnding = "whole" | "cut-off" | "not-run" | "unknown" | "invalid" | "unreached" | "broken";

/** One send of a request. Times are in milliseconds of the machine's monotonic clock. */
export interface Send {
    ending: SendEnding;
    /** Type of the problem or text of the error, for display. */
    cause: string;
    /** Address of the instance that it was sent to. */
    address: string;
    sentAt: number;
    endedAt: number;
}

/** A request with all its sends. */
export interface FinishedRequest {
    request: DemoRequest;
    identifier: string | undefined;
    sends: Send[];
    /** Ending of the last send that reached an instance. */
    ending: SendEnding;
    status: number | undefined;
    answerBytes: number;
    fault: AnswerFault | undefined;
}

const endingOf = (reply: TestReply): SendEnding => {
    switch (reply.outcome) {
        case "answered":
            return reply.whole ? "whole" : "cut-off";
        case "not-run":
        case "unknown":
        case "invalid":
            return reply.outcome;
        default:
            return reply.error?.includes("ECONNREFUSED") ? "unreached" : "broken";
    }
};

/** Whether the request may have run after a send that ended like this. */
const mayHaveRun = (ending: SendEnding): boolean => !["not-run", "unreached", "invalid"].includes(ending);

/**
 * Sends a request like a caller: until its deadline, a request that has not run or may have run is resent with the same
 * identifier through another instance; after a refused connection, it is resent immediately.
 *
 * @example
 * const finished = await call(request, { client, addresses, random, caller: "haulier-1", signal });
 */
export const call = async (
    request: DemoRequest,
    options: {
        client: RequestClient;
        /** Addresses of the entry instances. */
        addresses: readonly string[];
        random: () => number;
        caller: string;
        signal: AbortSignal;
    },
): Promise<FinishedRequest> => {
    const { client, addresses, random, caller, signal } = options;
    const identifier = request.idempotent ? undefined : uuidv7();
    const finished: FinishedRequest = {
        request,
        identifier,
        sends: [],
        ending: "unreached",
        status: undefined,
        answerBytes: 0,
        fault: undefined,
    };
    const deadlineAt = machineMonotonicMs() + request.deadlineMs;
    let address = addresses[Math.floor(random() * addresses.length)];
    let unknownSends = 0;
    for (;;) {
        const sentAt = machineMonotonicMs();
        const leftMs = Math.max(1, Math.floor(deadlineAt - sentAt));
        const reply = await client.send({
            address,
            method: request.method,
            path: request.path,
            service: request.service,
            key: request.key,
            identifier,
            deadlineMs: leftMs,
            caller,
            body: request.body,
            timeoutMs: leftMs + ANSWER_GRACE_MS,
            signal,
        });
        const ending = endingOf(reply);
        const cause = reply.problem ?? reply.error ?? "";
        finished.sends.push({ ending, cause, address, sentAt, endedAt: machineMonotonicMs() });
        if (ending !== "unreached") {
            finished.ending = ending;
            finished.status = reply.status;
            finished.answerBytes = reply.body.byteLength;
        }
        if (ending === "whole") {
            finished.fault = checkAnswer(request, identifier, reply.body);
        }
        unknownSends += mayHaveRun(ending) ? 1 : 0;
        const isOver =
            ending === "whole" ||
            ending === "invalid" ||
            unknownSends >= MAX_UNKNOWN_SENDS ||
            machineMonotonicMs() + RESEND_PAUSE_MS >= deadlineAt ||
            signal.aborted;
        if (isOver) {
            return finished;
        }
        const others = addresses.filter(other => other !== address);
        address = others[Math.floor(random() * others.length)] ?? address;
        if (ending !== "unreached") {
            await pause(RESEND_PAUSE_MS);
        }
    }
};

/** The not-run reports of a request up to its first send that may have run. */
export const notRunReports = ({
    request,
    identifier,
    sends,
}: FinishedRequest): { service: string; identifier: string; sentAgainAt: number | undefined }[] => {
    const firstOpen = sends.findIndex(({ ending }) => mayHaveRun(ending));
    return sends
        .slice(0, firstOpen < 0 ? sends.length : firstOpen)
        .map((send, index) => ({ send, next: sends[index + 1] }))
        .filter(({ send }) => send.ending === "not-run")
        .map(({ next }) => ({
            service: request.service,
            // Idempotent requests have no identifier at the targets; their paths are unique in the mix.
            identifier: identifier ?? request.path,
            sentAgainAt: next?.sentAt,
        }));
};
