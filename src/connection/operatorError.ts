import { status } from "@grpc/grpc-js";

/** Trailing metadata that carries the type of a failed operator call. */
export const ERROR_TYPE_METADATA = "sassafrasloom-error-type";

/** Types of failures of operator calls, each with its gRPC status. */
const OPERATOR_ERROR_STATUS = {
    /** A field of the request is invalid. */
    "invalid-request": status.INVALID_ARGUMENT,
    /** The named target, instance, domain or fingerprint doesn't exist. */
    "not-found": status.NOT_FOUND,
    /** The current state doesn't allow the change, for example because another rollout was accepted first. */
    refused: status.FAILED_PRECONDITION,
    /** A rollout wasn't accepted; the detail names the domains that didn't confirm. */
    "not-accepted": status.ABORTED,
    "platform-unavailable": status.UNAVAILABLE,
    /** The reply to a write was lost. The change may have been made. */
    "result-unknown": status.UNKNOWN,
    /** The call requires a signature and has none. */
    unsigned: status.UNAUTHENTICATED,
    /** A field of the signature metadata is missing or malformed. */
    "malformed-signature": status.UNAUTHENTICATED,
    /** The signer isn't listed in the daemon's settings. */
    "unlisted-signer": status.PERMISSION_DENIED,
    /** The signature doesn't match the method, payload, instance, time and nonce. */
    "bad-signature": status.UNAUTHENTICATED,
    /** The time of the signature is outside the accepted window. */
    "outside-window": status.UNAUTHENTICATED,
    /** The nonce was used before. */
    replayed: status.UNAUTHENTICATED,
    /** The signature was made for another instance or an earlier incarnation of this one. */
    "wrong-instance": status.UNAUTHENTICATED,
    /** More signed calls arrived within the time window than the daemon tracks. */
    "too-many-calls": status.RESOURCE_EXHAUSTED,
    internal: status.INTERNAL,
} as const satisfies Record<string, status>;

export type OperatorErrorType = keyof typeof OPERATOR_ERROR_STATUS;

/** Why an operator call failed at the daemon. `detail` says what happened and what the operator can do. */
export interface OperatorError {
    type: OperatorErrorType;
    detail: string;
}

export const operatorError = (type: OperatorErrorType, detail: string): OperatorError => ({ type, detail });

export const statusOfOperatorError = (type: OperatorErrorType): status => OPERATOR_ERROR_STATUS[type];

/** Checks a failure type received from a daemon. */
export const isOperatorErrorType = (type: string): type is OperatorErrorType =>
    Object.hasOwn(OPERATOR_ERROR_STATUS, type);
