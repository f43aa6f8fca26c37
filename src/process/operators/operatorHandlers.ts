import type { Result } from "neverthrow";
import type {
    OperatorReply,
    OperatorRequest,
    OperatorStreamName,
    OperatorUnaryName,
} from "../../connection/operatorCalls.js";
import type { OperatorError } from "../../connection/operatorError.js";

/** Caller of an operator call, and a signal of its cancellation. */
export interface OperatorCallContext {
    /** Name of the signer; `undefined` for an anonymous read. */
    operator: string | undefined;
    /** Aborted when the operator's client cancels the call or disconnects. */
    signal: AbortSignal;
}

/** Handles a call with a single reply. */
export type OperatorUnaryHandler<Name extends OperatorUnaryName> = (
    request: OperatorRequest<Name>,
    context: OperatorCallContext,
) => Promise<Result<OperatorReply<Name>, OperatorError>>;

/** Handles a call with a stream of progress updates that ends with the result or with an error. */
export type OperatorStreamHandler<Name extends OperatorStreamName> = (
    request: OperatorRequest<Name>,
    context: OperatorCallContext,
) => AsyncIterable<Result<OperatorReply<Name>, OperatorError>>;

/**
 * Handlers that the daemon provides to the operator server, one per call.
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
