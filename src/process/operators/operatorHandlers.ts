import type { Result } from "neverthrow";
import type {
    OperatorReply,
    OperatorRequest,
    OperatorStreamName,
    OperatorUnaryName,
} from "../../connection/operatorCalls.js";
import type { OperatorError } from "../../connection/operatorError.js";

/** Who makes a call, and whether the answer is still wanted. */
export interface OperatorCallContext {
    /** Name of the signer; `undefined` for an anonymous read. */
    operator: string | undefined;
    /** Aborted when the operator's tool has gone away. */
    signal: AbortSignal;
}

/** Answers a call once. */
export type OperatorUnaryHandler<Name extends OperatorUnaryName> = (
    request: OperatorRequest<Name>,
    context: OperatorCallContext,
) => Promise<Result<OperatorReply<Name>, OperatorError>>;

/** Answers a call with progress and, as the last update, the result. A failure ends the stream. */
export type OperatorStreamHandler<Name extends OperatorStreamName> = (
    request: OperatorRequest<Name>,
    context: OperatorCallContext,
) => AsyncIterable<Result<OperatorReply<Name>, OperatorError>>;

/**
 * What the daemon supplies to the operator server: one function per call.
 *
 * @example
 * const handlers: OperatorHandlers = {
 *     ...others,
 *     moves: async () => ok({ moves: moveRunner.list() }),
 *     drain: async function* (request) {
 *         yield ok({ progress: { scope: request.name, state: "draining", detail: "", done: 0, total: 12 } });
 *         yield ok({ result: { detail: "Drained." } });
 *     },
 * };
 */
export type OperatorHandlers = { [Name in Exclude<OperatorUnaryName, "identify">]: OperatorUnaryHandler<Name> } & {
    [Name in OperatorStreamName]: OperatorStreamHandler<Name>;
};
